#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"

#include <QString>

#include <map>
#include <vector>

namespace lacewingmux {

/** Whom a daemon tells of the configuration, and whether it watches the store itself. */
struct ConfigurationPeers
{
    /** How many VMs of a zone watch the store. */
    static constexpr std::size_t watchersPerZone = 2;

    std::vector<VmIncarnation> zoneMembers;   ///< of the own zone's view, this VM included
    std::vector<VmIncarnation> zoneWatchers;  ///< of the own zone, this VM included if it is one
    std::vector<VmIncarnation> otherWatchers; ///< of the other zones
    bool isWatcher = false;

    /** Works it out from the members of each zone's view. */
    [[nodiscard]] static ConfigurationPeers
    fromViews(const VmIncarnation &self,
              const std::map<QString, std::vector<VmDescriptor>> &membersByZone);

    /** Returns the watchers among the members: the highest by rendezvous hash. */
    [[nodiscard]] static std::vector<VmIncarnation>
    watchersAmong(const std::vector<VmDescriptor> &members);
};

} // namespace lacewingmux
