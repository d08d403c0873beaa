#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_node/front/StoreFollower.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_relay/links/RelayClient.h"
#include "lacewingmux_relay/links/RelayServer.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    An entry VM that follows the replicas through two records VMs, on a manual clock. The entry VM
    itself never reaches the store.
*/
class RelayedEntryVm
{
public:
    RelayedEntryVm();

    /** Writes the entry of a replica to the store. */
    void registerReplica(const QByteArray &id);

    /** Removes the entry of a replica from the store. */
    void removeReplica(const QByteArray &id);

    /** Cuts the entry VM off from the records VMs, or ends the cut. */
    void setCut(bool cut);

    /** Sets whether the store answers the records VMs. */
    void setStoreReachable(bool reachable);

    /** Lets time pass. */
    void run(std::chrono::milliseconds duration);

    /** Returns the replicas that the entry VM uses. */
    [[nodiscard]] const std::set<QByteArray> &replicas() const noexcept
    {
        return this->usedReplicas;
    }

private:
    struct RecordsVm
    {
        VmIncarnation incarnation;
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<RelayServer> relay;
    };

    void startRecordsVm(const VmIncarnation &incarnation);
    void startEntryVm();
    void sendContents(RelayServer &relay, const VmIncarnation &subscriber) const;
    void broadcast(const QByteArray &id);
    [[nodiscard]] PlatformAdapter adapter() const;

    ManualTimerService timers;
    InMemoryPeerNetwork network;
    IgnoringMetricsRecorder metrics;
    std::vector<std::unique_ptr<RecordsVm>> recordsVms;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<StoreFollower> follower;
    std::unique_ptr<RelayClient> relays;
    std::map<QByteArray, std::int64_t> entries; ///< revisions in the store, by replica
    std::int64_t storeRevision = 1;
    bool storeReachable = true;
    std::set<QByteArray> usedReplicas;
};

} // namespace lacewingmux
