#include "lacewingmux_core/time/EventLoopMonitor.h"
#include "lacewingmux_core/logging/LogOutput.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_core/time/QtTimerService.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QThread>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

/** Keeps the observed durations of event loop delays. */
class DelayRecorder final : public MetricsRecorder
{
public:
    void count(const char *, const std::vector<MetricLabel> &, double) override
    { }
    void observe(const char *name, const std::vector<MetricLabel> &,
                 std::chrono::microseconds duration) override
    {
        if (std::string(name) == "lacewingmux_event_loop_delay_seconds")
            this->delays.push_back(duration);
    }
    void set(const char *, const std::vector<MetricLabel> &, double) override
    { }

    std::vector<std::chrono::microseconds> delays;
};

/** A monitored event loop, and what the monitor has logged. */
class MonitoredLoop
{
public:
    MonitoredLoop()
    {
        LogOutput::setWriter([this](LogSeverity, const std::string &object) {
            this->lines.push_back(
                    QJsonDocument::fromJson(QByteArray::fromStdString(object)).object());
        });
    }
    ~MonitoredLoop()
    {
        LogOutput::setWriter(nullptr);
    }
    MonitoredLoop(const MonitoredLoop &) = delete;
    MonitoredLoop &operator=(const MonitoredLoop &) = delete;

    void runFor(std::chrono::milliseconds duration)
    {
        bool isOver = false;
        const auto end = this->timers.after(duration, [&isOver] { isOver = true; });
        while (!isOver)
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents
                                            | QEventLoop::EventLoopExec);
    }

private:
    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    QCoreApplication application{argumentCount, arguments};

public:
    QtTimerService timers;
    DelayRecorder metrics;
    std::chrono::microseconds processorTime{0};
    EventLoopMonitor monitor{timers, metrics, [this] { return this->processorTime; }};
    std::vector<QJsonObject> lines;
};

} // namespace

Test(EventLoopMonitor, recordsALongCallbackWithItsProcessorTime)
{
    MonitoredLoop loop;
    loop.runFor(60ms);
    loop.timers.post([&loop] {
        QThread::msleep(400);
        loop.processorTime += 350ms;
    });
    loop.runFor(200ms);
    const auto line = std::find_if(loop.lines.begin(), loop.lines.end(), [](const auto &object) {
        return object.value(QLatin1String("processorMilliseconds")).toInteger() == 350;
    });
    cr_assert_neq(line, loop.lines.end());
    cr_assert(line->value(QLatin1String("event")).toString() == QLatin1String("eventLoopDelayed"));
    cr_assert_geq(line->value(QLatin1String("milliseconds")).toInteger(), 350);
    cr_assert_eq(loop.metrics.delays.size(), loop.lines.size());
    cr_assert_geq(*std::max_element(loop.metrics.delays.begin(), loop.metrics.delays.end()), 350ms);
}

Test(EventLoopMonitor, recordsNothingOfAResponsiveLoop)
{
    ManualTimerService timers;
    DelayRecorder metrics;
    const EventLoopMonitor monitor(timers, metrics);
    for (int turn = 0; turn < 1000; ++turn)
        timers.advance(7ms);
    cr_assert(metrics.delays.empty());
}
