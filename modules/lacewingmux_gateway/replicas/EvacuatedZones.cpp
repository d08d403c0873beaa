#include "lacewingmux_gateway/replicas/EvacuatedZones.h"

#include <utility>

namespace lacewingmux {

void EvacuatedZones::set(std::set<QByteArray> zones, SteadyTime now)
{
    for (const QByteArray &zone : this->current) {
        if (!zones.contains(zone))
            this->ends.insert_or_assign(zone, now);
    }
    for (const QByteArray &zone : zones)
        this->ends.erase(zone);
    this->current = std::move(zones);
}

bool EvacuatedZones::contains(const QByteArray &zone) const
{
    return this->current.contains(zone);
}

std::optional<EvacuatedZones::SteadyTime> EvacuatedZones::endedAt(const QByteArray &zone) const
{
    const auto found = this->ends.find(zone);
    return found == this->ends.end() ? std::nullopt : std::optional(found->second);
}

} // namespace lacewingmux
