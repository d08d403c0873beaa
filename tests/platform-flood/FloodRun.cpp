#include "FloodRun.h"

#include "deployment/EventLoopWait.h"
#include "deployment/ManagedProcess.h"

#include <QFile>

#include <future>
#include <iostream>
#include <thread>
#include <utility>

namespace lacewingmux::flood {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds usualInterval{50};
constexpr milliseconds usualAlone{1000}; // before and after the other calls
constexpr milliseconds answerMargin{500};
constexpr std::chrono::minutes runBound{10};
constexpr int statusOk = 200;
constexpr int kilobytesPerMegabyte = 1024;

/** Returns the highest resident size of a process in kB; 0 if it has ended. */
qint64 highestResidentSize(qint64 process)
{
    QFile file(QStringLiteral("/proc/%1/status").arg(process));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    for (const QByteArray &line : file.readAll().split('\n')) {
        if (line.startsWith("VmHWM:"))
            return line.mid(6).trimmed().split(' ').first().toLongLong();
    }
    return 0;
}

} // namespace

FloodRun::FloodRun(FloodSettings floodSettings, FloodKind floodKind)
    : settings(std::move(floodSettings))
    , kind(std::move(floodKind))
{ }

bool FloodRun::perform()
{
    FloodFleet fleet(this->settings, this->kind);
    fleet.start();
    this->address = fleet.entryVm().address();
    auto calls = std::async(std::launch::async, [this] { this->playCalls(); });
    const bool isOver = standin::waitUntil(
            [&calls] { return calls.wait_for(milliseconds(0)) == std::future_status::ready; },
            runBound);
    this->result.memoryKilobytes = highestResidentSize(fleet.entryVm().process().processId());
    const bool isKept = isOver && this->isWithinLimits();
    this->print(isKept);
    return isKept;
}

void FloodRun::playCalls()
{
    std::thread usual([this] { this->sendUsualCalls(); });
    std::this_thread::sleep_for(usualAlone);
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(this->kind.callers));
    for (int caller = 0; caller < this->kind.callers; ++caller)
        callers.emplace_back([this, caller] { this->callOneAfterTheOther(caller); });
    for (std::thread &caller : callers)
        caller.join();
    std::this_thread::sleep_for(usualAlone);
    this->isFlooding = false;
    usual.join();
}

void FloodRun::callOneAfterTheOther(int caller)
{
    for (int number = 0; number < this->settings.requestsPerCaller; ++number) {
        const QByteArray id = "call-" + QByteArray::number(this->settings.seed) + '-'
                              + QByteArray::number(caller) + '-' + QByteArray::number(number);
        const FloodCall call = FloodCall::ofKind(this->kind, id);
        const FloodCall::Outcome outcome = call.perform(this->address, soak::VmProcess::ingressPort,
                                                        call.deadline + answerMargin);
        const std::lock_guard lock(this->mutex);
        ++this->result.calls;
        ++this->result.statuses[outcome.status];
        if (!this->isAnswered(outcome))
            ++this->result.unanswered;
    }
}

bool FloodRun::isAnswered(const FloodCall::Outcome &outcome) const
{
    if (this->kind.isSound())
        return outcome.status == statusOk && outcome.isComplete;
    const bool isStream = this->kind.route != FloodKind::Route::Plain;
    return outcome.isComplete || (isStream && outcome.status == statusOk);
}

void FloodRun::sendUsualCalls()
{
    std::vector<std::future<void>> calls;
    auto next = std::chrono::steady_clock::now();
    for (int number = 0; this->isFlooding; ++number) {
        calls.push_back(
                std::async(std::launch::async, [this, number] { this->performUsualCall(number); }));
        next += usualInterval;
        std::this_thread::sleep_until(next);
    }
}

void FloodRun::performUsualCall(int number)
{
    const FloodCall call = FloodCall::usual("usual-" + QByteArray::number(this->settings.seed) + '-'
                                            + QByteArray::number(number));
    const FloodCall::Outcome outcome =
            call.perform(this->address, soak::VmProcess::ingressPort, call.deadline + answerMargin);
    const std::lock_guard lock(this->mutex);
    ++this->result.usualCalls;
    this->result.slowestUsual = std::max(this->result.slowestUsual, outcome.duration);
    if (outcome.status != statusOk || !outcome.isComplete || outcome.duration > call.deadline)
        ++this->result.usualNotServed;
}

bool FloodRun::isWithinLimits() const
{
    constexpr auto limit = std::int64_t{FloodFleet::memoryMegabytes} * kilobytesPerMegabyte;
    return this->result.memoryKilobytes > 0 && this->result.memoryKilobytes < limit
           && this->result.usualNotServed == 0 && this->result.unanswered == 0;
}

void FloodRun::print(bool isKept) const
{
    std::cout << (isKept ? "PASS " : "FAIL ") << this->kind.name.constData() << ": memory "
              << this->result.memoryKilobytes / kilobytesPerMegabyte
              << " MB, usual calls not served " << this->result.usualNotServed << " of "
              << this->result.usualCalls << ", slowest usual call "
              << this->result.slowestUsual.count() << " ms, callers without an answer "
              << this->result.unanswered << " of " << this->result.calls << ", statuses";
    for (const auto &[status, count] : this->result.statuses)
        std::cout << ' ' << status << " x " << count;
    std::cout << std::endl;
}

} // namespace lacewingmux::flood
