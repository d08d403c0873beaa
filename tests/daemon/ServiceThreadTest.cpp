#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/process/StopSignals.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

#include <csignal>
#include <stdexcept>
#include <vector>

using namespace lacewingmux;

namespace {

struct Recorder
{
    explicit Recorder(std::vector<int> &sharedOrder)
        : order(sharedOrder)
        , maker(QThread::currentThread())
    { }
    ~Recorder()
    {
        this->order.push_back(QThread::currentThread() == this->maker ? -1 : -2);
    }
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    std::vector<int> &order;
    QThread *maker;
};

} // namespace

Test(ServiceThread, runsPostedFunctionsInOrderAndEndsOnItsOwnThread)
{
    int argumentCount = 0;
    const QCoreApplication application(argumentCount, nullptr);
    std::vector<int> order;
    {
        ServiceThread<Recorder> thread(QStringLiteral("test"),
                                       [&order] { return std::make_unique<Recorder>(order); });
        for (int number = 0; number < 100; ++number)
            thread.post([number](Recorder &recorder) { recorder.order.push_back(number); });
    }
    cr_assert_eq(order.size(), 101);
    cr_assert_eq(order[99], 99);
    cr_assert_eq(order[100], -1, "the services must be destroyed on the thread that made them");
}

Test(ServiceThread, passesOnAFailureOfItsFactory)
{
    int argumentCount = 0;
    const QCoreApplication application(argumentCount, nullptr);
    const auto failing = []() -> std::unique_ptr<Recorder> { throw std::runtime_error("no port"); };
    cr_assert_throw(ServiceThread<Recorder>(QStringLiteral("test"), failing), std::runtime_error);
}

Test(StopSignals, reachTheEventLoop)
{
    int argumentCount = 0;
    QCoreApplication application(argumentCount, nullptr);
    int calls = 0;
    const StopSignals signals([&calls] { ++calls; });
    std::raise(SIGTERM);
    cr_assert_eq(calls, 0);
    while (calls == 0)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    cr_assert_eq(calls, 1);
}
