#pragma once

#include "lacewingmux_config/service/RevisionSet.h"
#include "lacewingmux_config/service/ZoneInForce.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QString>

#include <chrono>
#include <map>
#include <vector>

namespace lacewingmux {

/** Gathers what is in force at the VMs of the own zone, and what other zones say of theirs. */
class InForceBook
{
public:
    /** A VM that was silent for longer doesn't count as reported. */
    static constexpr std::chrono::milliseconds reportLifetime{10'000};

    /** Notes what a VM has in force. */
    void report(const VmIncarnation &vm, const RevisionSet &revisions,
                TimerService::SteadyTime now);

    /** Notes what another VM knows of the zones; of each zone the latest word counts. */
    void learn(const std::vector<ZoneInForce> &zones, TimerService::SteadyTime now);

    /** Returns the own zone, worked out from its members, if it has any. */
    [[nodiscard]] ZoneInForce ownZone(const QString &zone,
                                      const std::vector<VmIncarnation> &members,
                                      TimerService::SteadyTime now) const;

    /** Returns what watchers have said of all zones, in the order of their names. */
    [[nodiscard]] std::vector<ZoneInForce> zones(TimerService::SteadyTime now) const;

    /** Returns those of the zones that differ from the last call, and remembers them as told. */
    [[nodiscard]] std::vector<ZoneInForce> changedSinceTold(const std::vector<ZoneInForce> &all);

    /** Forgets VMs that have been silent for long. */
    void forgetSilent(TimerService::SteadyTime now);

private:
    struct VmReport
    {
        RevisionSet revisions;
        TimerService::SteadyTime heard;
    };
    struct ZoneReport
    {
        ZoneInForce zone;
        TimerService::SteadyTime written;
    };

    std::map<VmIncarnation, VmReport> vms;
    std::map<QString, ZoneReport> zoneReports;
    std::map<QString, ZoneInForce> toldZones; ///< with age 0
};

} // namespace lacewingmux
