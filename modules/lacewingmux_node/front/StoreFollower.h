#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/replicas/ReplicaDirectory.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_node/settings/PlatformAdapter.h"

#include <QByteArray>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

class EvacuationFollower;
class MetricsRecorder;
class RelayedStore;
struct RelayContact;
struct RelayUpdate;

/**
    What an entry VM follows in the platform's store: the configuration, the replicas, the view of
    the records VMs and the evacuated zones. Records VMs relay the contents; while none of them
   serves this VM, it watches the store itself.
*/
class StoreFollower
{
public:
    /** Called with each new document or list. */
    struct Hooks
    {
        std::function<void(const QByteArray &document)> configuration;
        std::function<void(const QByteArray &document)> view;
        /** Not called before the evacuated zones are known, so that a VM that starts sends nothing
            to an evacuated zone; at the latest when relays have served this VM for the limit of an
            evacuation without sending the zones. */
        std::function<void(const std::vector<ReplicaInstance> &)> replicas;
        /** Called with the zones whose replicas get no calls, at the operators' request; never if
            the deployment does not evacuate zones. */
        std::function<void(const std::set<QByteArray> &)> evacuatedZones;
    };

    StoreFollower(TimerService &timerService, MetricsRecorder &metrics,
                  PlatformAdapter platformAdapter, Hooks followerHooks);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /** Applies an update from a relay. */
    void applyUpdate(const RelayUpdate &update);

    /** Follows the relays while they serve this VM, and otherwise, after a delay, the store. */
    void handleRelayContact(const RelayContact &contact);

private:
    void handleStoreContact(bool reachable);
    void fallBackToStore();
    void updateReplica(const StoreRecord &record);
    void publishReplicas();
    void followEvacuations(MetricsRecorder &metrics);
    /** Starts or ends the time after which the replicas are used although the evacuated zones are
        not known. */
    void limitWithholding();
    void endWithholding();

    TimerService &timers;
    PlatformAdapter platform;
    std::function<void(const std::vector<ReplicaInstance> &)> replicasHook;
    std::function<void(const std::set<QByteArray> &)> evacuatedZonesHook;
    ReplicaDirectory replicas;
    std::unique_ptr<RelayedStore> store;
    std::unique_ptr<PlatformStore::Watch> configurationWatch;
    std::unique_ptr<PlatformStore::Watch> replicaWatch;
    std::unique_ptr<PlatformStore::Watch> viewWatch;
    std::unique_ptr<EvacuationFollower> evacuations; ///< null if no zone is ever evacuated
    bool servedByRelays = false;
    bool replicasWithheld = false; ///< until the evacuated zones are known
    bool withholdingEnded = false; ///< the replicas are used although the zones are not known
    TimerSubscription fallbackTimer;
    bool usesStore = false;   ///< watches the store itself
    bool storeServes = false; ///< has answered a watch since it was last unreachable
    TimerSubscription withholdingTimer;
};

} // namespace lacewingmux
