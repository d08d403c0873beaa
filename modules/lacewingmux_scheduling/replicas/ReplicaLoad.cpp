#include "lacewingmux_scheduling/replicas/ReplicaLoad.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr std::size_t maximumChanges = 256;

} // namespace

void ReplicaLoad::started(SteadyTime now)
{
    this->recordChange(now, this->own + 1);
}

void ReplicaLoad::finished(SteadyTime now)
{
    this->recordChange(now, std::max(0, this->own - 1));
}

void ReplicaLoad::report(const LoadReport &report)
{
    if (report.measuredAt < this->lastReport.measuredAt)
        return;
    this->lastReport = report;
    while (!this->changes.empty() && this->changes.front().at <= report.measuredAt) {
        this->ownBeforeChanges = this->changes.front().ownAfter;
        this->changes.pop_front();
    }
    this->otherVmSequences = std::max(0, report.sequences - this->ownBeforeChanges);
}

void ReplicaLoad::recordChange(SteadyTime now, int ownAfter)
{
    this->own = ownAfter;
    this->changes.push_back({now, ownAfter});
    if (this->changes.size() <= maximumChanges)
        return;
    this->ownBeforeChanges = this->changes.front().ownAfter;
    this->changes.pop_front();
}

} // namespace lacewingmux
