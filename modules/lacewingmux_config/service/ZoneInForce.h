#pragma once

#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** What is in force at every VM of one availability zone, as far as its VMs have reported. */
struct ZoneInForce
{
    QString zone;
    std::uint64_t configuration = 0;  ///< the lowest revision of its VMs; 0 if one never reported
    std::uint64_t keys = 0;           ///< the lowest RevisionSet::keys() of its VMs
    std::uint32_t vms = 0;            ///< members of the zone view
    std::uint32_t reportedVms = 0;    ///< members heard of lately
    std::chrono::milliseconds age{0}; ///< since the zone's watcher wrote this

    friend bool operator==(const ZoneInForce &, const ZoneInForce &) = default;
};

} // namespace lacewingmux
