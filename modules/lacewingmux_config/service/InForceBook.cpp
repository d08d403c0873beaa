#include "lacewingmux_config/service/InForceBook.h"

#include <algorithm>

namespace lacewingmux {

void InForceBook::report(const VmIncarnation &vm, const RevisionSet &revisions,
                         TimerService::SteadyTime now)
{
    this->vms[vm] = VmReport{revisions, now};
}

void InForceBook::learn(const std::vector<ZoneInForce> &learned, TimerService::SteadyTime now)
{
    for (const ZoneInForce &zone : learned) {
        const TimerService::SteadyTime written = now - zone.age;
        const auto known = this->zoneReports.find(zone.zone);
        if (known == this->zoneReports.end() || known->second.written < written)
            this->zoneReports[zone.zone] = ZoneReport{zone, written};
    }
}

ZoneInForce InForceBook::ownZone(const QString &zone, const std::vector<VmIncarnation> &members,
                                 TimerService::SteadyTime now) const
{
    ZoneInForce summary;
    summary.zone = zone;
    summary.vms = static_cast<std::uint32_t>(members.size());
    bool first = true;
    for (const VmIncarnation &member : members) {
        const auto found = this->vms.find(member);
        const bool fresh = found != this->vms.end() && found->second.heard + reportLifetime >= now;
        const RevisionSet revisions = fresh ? found->second.revisions : RevisionSet();
        summary.reportedVms += fresh ? 1 : 0;
        summary.configuration = first ? revisions.configuration
                                      : std::min(summary.configuration, revisions.configuration);
        summary.keys = first ? revisions.keys() : std::min(summary.keys, revisions.keys());
        first = false;
    }
    return summary;
}

std::vector<ZoneInForce> InForceBook::zones(TimerService::SteadyTime now) const
{
    std::vector<ZoneInForce> known;
    for (const auto &[name, report] : this->zoneReports) {
        known.push_back(report.zone);
        known.back().age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - report.written);
    }
    return known;
}

std::vector<ZoneInForce> InForceBook::changedSinceTold(const std::vector<ZoneInForce> &all)
{
    std::vector<ZoneInForce> changed;
    for (const ZoneInForce &zone : all) {
        ZoneInForce ageless = zone;
        ageless.age = std::chrono::milliseconds(0);
        ZoneInForce &told = this->toldZones[zone.zone];
        if (told == ageless)
            continue;
        told = ageless;
        changed.push_back(zone);
    }
    return changed;
}

void InForceBook::forgetSilent(TimerService::SteadyTime now)
{
    std::erase_if(this->vms,
                  [now](const auto &entry) { return entry.second.heard + reportLifetime < now; });
}

} // namespace lacewingmux
