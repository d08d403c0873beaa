#include "lacewingmux_config/service/ConfigurationPeers.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>

namespace lacewingmux {

namespace {

std::uint64_t watcherWeight(const VmIncarnation &vm)
{
    return combineHashes(stableHash(vm.vm.toUtf8()), stableHash("configuration"));
}

} // namespace

ConfigurationPeers
ConfigurationPeers::fromViews(const VmIncarnation &self,
                              const std::map<QString, std::vector<VmDescriptor>> &membersByZone)
{
    ConfigurationPeers peers;
    for (const auto &[zone, members] : membersByZone) {
        const std::vector<VmIncarnation> watchers = watchersAmong(members);
        if (zone != self.zone) {
            peers.otherWatchers.insert(peers.otherWatchers.end(), watchers.begin(), watchers.end());
            continue;
        }
        for (const VmDescriptor &member : members)
            peers.zoneMembers.push_back(member.incarnation);
        peers.zoneWatchers = watchers;
        peers.isWatcher = std::find(watchers.begin(), watchers.end(), self) != watchers.end();
    }
    return peers;
}

std::vector<VmIncarnation>
ConfigurationPeers::watchersAmong(const std::vector<VmDescriptor> &members)
{
    std::vector<VmIncarnation> ranked;
    ranked.reserve(members.size());
    for (const VmDescriptor &member : members)
        ranked.push_back(member.incarnation);
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return watcherWeight(left) > watcherWeight(right);
    });
    if (ranked.size() > watchersPerZone)
        ranked.resize(watchersPerZone);
    return ranked;
}

} // namespace lacewingmux
