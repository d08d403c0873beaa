#include "SoakRun.h"

#include "checks/LostCheck.h"
#include "checks/MixedCheck.h"
#include "checks/OrderCheck.h"
#include "checks/ProcessCheck.h"
#include "checks/RefusedCheck.h"
#include "checks/TwiceCheck.h"
#include "deployment/EventLoopWait.h"

#include <QDateTime>
#include <QFile>

#include <algorithm>
#include <iostream>
#include <map>
#include <utility>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds delayInterval{20};
constexpr milliseconds finishBound{30000};

} // namespace

SoakRun::SoakRun(SoakSettings soakSettings)
    : settings(std::move(soakSettings))
    , plan(this->settings)
    , fleet(this->settings, this->plan, this->timers)
    , records(this->fleet.configuration())
{ }

SoakRun::~SoakRun() = default;

std::vector<Violation> SoakRun::perform()
{
    this->printPlan();
    this->fleet.start();
    this->records.begin = this->timers.now();
    this->records.wallBegin = milliseconds(QDateTime::currentMSecsSinceEpoch());
    this->measureDelay();
    this->startCallers();
    this->performPlan();
    this->finishCalls();
    this->records.disruptions = this->fleet.disruptions();
    this->records.endedProcesses = this->fleet.endedProcesses();
    this->records.readRuns(this->settings.folder);
    std::vector<Violation> violations = this->check();
    this->print(violations);
    return violations;
}

void SoakRun::printPlan() const
{
    std::cout << "seed " << this->settings.seed << ": " << SoakSettings::recordsVmCount
              << " records VMs, " << this->settings.entryVmCount() << " entry VMs, "
              << this->settings.replicasPerService() << " replicas of each service\n";
    for (const SoakPlan::ReplicaLimits &limits : this->plan.replicaLimits())
        std::cout << "  " << limits.service.toStdString() << ": backlog " << limits.backlog
                  << ", at most " << limits.connectionLimit << " connections, idle for "
                  << limits.idleTimeout.count() << " ms, runs at their deadline are "
                  << (limits.closesAtDeadline ? "closed" : "reset") << ", stutters in "
                  << limits.stutterPercent << "% of the answers\n";
    for (const PlanStep &step : this->plan.steps())
        std::cout << "  " << step.text().toStdString() << '\n';
    std::cout << std::flush;
}

void SoakRun::measureDelay()
{
    const TimerService::SteadyTime now = this->timers.now();
    if (this->lastMeasurement != TimerService::SteadyTime()) {
        const auto delay =
                std::chrono::floor<milliseconds>(now - this->lastMeasurement) - delayInterval;
        this->records.longestDelay = std::max(this->records.longestDelay, delay);
    }
    this->lastMeasurement = now;
    this->delayTimer = this->timers.after(delayInterval, [this] { this->measureDelay(); });
}

void SoakRun::startCallers()
{
    const SoakCaller::Hooks hooks{
            [this] { return this->fleet.balancer().choose(); },
            [this](const CallRecord &call) { this->records.calls.push_back(call); }};
    const int count = this->settings.streamCallers + this->settings.plainCallers;
    for (int number = 0; number < count; ++number) {
        const bool makesStreams = number < this->settings.streamCallers;
        const QByteArray name = (makesStreams ? "s" : "p") + QByteArray::number(number);
        const auto seed = this->settings.seed * 1000 + static_cast<std::uint32_t>(number);
        this->callers.push_back(
                std::make_unique<SoakCaller>(name, makesStreams, seed, this->timers, hooks));
        this->callers.back()->start();
    }
}

void SoakRun::performPlan()
{
    std::vector<TimerSubscription> stepTimers;
    for (const PlanStep &step : this->plan.steps())
        stepTimers.push_back(
                this->timers.after(step.at, [this, step] { this->fleet.perform(step); }));
    const auto end = this->records.begin + this->settings.duration;
    const bool isOver = standin::waitUntil([this, end] { return this->timers.now() >= end; },
                                           this->settings.duration * 2);
    Q_UNUSED(isOver)
}

void SoakRun::finishCalls()
{
    for (const auto &caller : this->callers)
        caller->finish();
    const bool isOver = standin::waitUntil(
            [this] {
                return this->fleet.isSettled()
                       && std::none_of(this->callers.begin(), this->callers.end(),
                                       [](const auto &caller) { return caller->isBusy(); });
            },
            finishBound);
    if (!isOver)
        std::cout << "calls or stops are still under way\n";
}

std::vector<Violation> SoakRun::check() const
{
    std::vector<Violation> all;
    for (const auto &checkPromise :
         {checkLost, checkOrder, checkTwice, checkRefused, checkMixed, checkProcesses}) {
        const std::vector<Violation> found = checkPromise(this->records);
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

void SoakRun::print(const std::vector<Violation> &violations) const
{
    this->printSummary();
    std::map<std::string, int> counts;
    for (const Violation &violation : violations) {
        ++counts[violation.promise];
        std::cout << violation.promise << ": " << violation.text.toStdString() << '\n';
        if (!violation.request.isEmpty())
            this->printLog(violation.request);
    }
    std::cout << "seed " << this->settings.seed << ": ";
    if (counts.empty())
        std::cout << "every promise was kept";
    for (const auto &[promise, count] : counts)
        std::cout << promise << ' ' << count << ' ';
    std::cout << std::endl;
}

void SoakRun::printSummary() const
{
    std::map<std::string, int> counts;
    for (const CallRecord &call : this->records.calls)
        ++counts[std::string(nameOf(call.kind)) + ' ' + nameOf(call.end) + ' '
                 + std::to_string(call.status)];
    for (const auto &[name, count] : counts)
        std::cout << "  " << name << ": " << count << '\n';
    for (const VmDisruption &stop : this->records.disruptions) {
        if (stop.wasKilled)
            std::cout << "  " << stop.vm.toStdString() << " did not end in time\n";
    }
    std::cout << "  longest delay of the runner: " << this->records.longestDelay.count() << " ms\n";
}

void SoakRun::printLog(const QByteArray &request) const
{
    const QByteArray field = '"' + request + '"';
    for (const QString &path : this->fleet.entryVmLogs()) {
        QFile file(path);
        if (!file.open(QIODevice::ReadOnly))
            continue;
        while (!file.atEnd()) {
            const QByteArray line = file.readLine();
            if (line.contains(field))
                std::cout << "    " << line.toStdString();
        }
    }
}

} // namespace lacewingmux::soak
