#pragma once

#include "callers/CallRecord.h"
#include "checks/ReplicaRun.h"
#include "fleet/SoakConfiguration.h"
#include "fleet/VmDisruption.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <map>
#include <vector>

namespace lacewingmux::soak {

/** What callers and replicas saw in a run. The checks judge by nothing else. */
struct SoakRecords
{
    explicit SoakRecords(const SoakConfiguration &soakConfiguration);

    /** Adds the runs of all replicas from the files with their logs. */
    void readRuns(const QString &folder);

    /** Returns the runs of a request, in no particular order. */
    [[nodiscard]] const std::vector<ReplicaRun> &runsOf(const QByteArray &request) const;

    /** Returns the runs of a call alone, where several calls bear its id. */
    [[nodiscard]] std::vector<ReplicaRun> runsOf(const CallRecord &call) const;

    /** Returns the time within which the call had to be answered. */
    [[nodiscard]] std::chrono::milliseconds timeOf(const CallRecord &call) const;

    /** Returns whether the call's own time or its route's was up at its end. */
    [[nodiscard]] bool timeWasUp(const CallRecord &call) const;

    /** Returns the call, its end and its runs in words. */
    [[nodiscard]] QString describe(const CallRecord &call) const;

    TimerService::SteadyTime begin;
    std::chrono::milliseconds wallBegin{0}; ///< the same moment by the wall clock
    std::vector<CallRecord> calls;
    std::map<QByteArray, std::vector<ReplicaRun>> runs;
    std::vector<VmDisruption> disruptions;
    std::vector<QByteArray> endedProcesses;
    std::chrono::milliseconds longestDelay{0}; ///< of this process's own event loop

private:
    void readRunLine(const QByteArray &line);

    const SoakConfiguration &configuration;
};

} // namespace lacewingmux::soak
