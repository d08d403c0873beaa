#pragma once

#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/replicas/ReplicaSet.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QHash>
#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace lacewingmux {

class PeerHub;
class ZoneView;
struct PeerFrame;
struct ReplicaLoadEntry;

/** Parameters of a ReplicaRegistry. */
struct ReplicaRegistrySettings
{
    std::chrono::milliseconds minPollInterval{250}; ///< between two polls of one replica
    /** The poll interval is at least this times the number of replicas. */
    std::chrono::milliseconds pollIntervalPerReplica{10};
    std::uint64_t seed = 0; ///< seed of the jitter
};

/** Dependencies of a ReplicaRegistry; all of them must outlive the registry. */
struct ReplicaRegistryEnvironment
{
    TimerService &timers;
    PlatformStore &store;
    PeerHub *hub = nullptr; ///< control channel; null when loads are not shared
    VmIncarnation self;
    std::function<void(std::shared_ptr<const ReplicaSet>)> publish;
};

/**
    Maintains the list of replicas in this VM's zone, with their loads. Runs on the control thread.

    The registry reads and watches the records under lacewingmux/backends/<zone>/ and the platform's
    list of VMs. A replica whose VM is leaving, is gone or was removed from the list is published as
    leaving. While the store is unavailable the registry keeps its last known state; it publishes
    nothing until both lists have been read once.

    For each engine, one VM of the zone, selected by rendezvous hashing, polls its load and reports
    it to the other VMs. A VM that receives no report about an engine for three poll intervals polls
    it itself. Every change is published as an immutable ReplicaSet.
*/
class ReplicaRegistry
{
public:
    explicit ReplicaRegistry(const ReplicaRegistryEnvironment &registryEnvironment,
                             const ReplicaRegistrySettings &registrySettings = {});
    ~ReplicaRegistry();
    ReplicaRegistry(const ReplicaRegistry &) = delete;
    ReplicaRegistry &operator=(const ReplicaRegistry &) = delete;

    /** Starts reading and watching the store and polling the replicas. */
    void start();

    /** Sets the view of this VM's zone, which determines which VM polls which replica. */
    void adoptView(std::shared_ptr<const ZoneView> zoneView);

    /** Returns the most recently published set. */
    [[nodiscard]] std::shared_ptr<const ReplicaSet> current() const
    {
        return this->published;
    }

private:
    struct KnownReplica
    {
        ReplicaRecord record;
        std::optional<MeasuredLoad> load;
        /** When the load was last measured, by this VM or a peer. Kept when load is reset. */
        TimerService::SteadyTime loadUpdatedAt;
        TimerSubscription nextPoll;
    };

    void readRecords(const QByteArray &prefix, std::chrono::milliseconds retryDelay);
    void watch(const QByteArray &prefix, std::int64_t afterRevision);
    void applyChange(const StoreRecord &change);
    void applyReplicaRecord(const QString &name, const QByteArray &json);
    void applyVmRecord(const QString &vm, const QByteArray &json);
    void schedulePoll(const QString &name);
    void poll(const QString &name);
    void pollFinished(const QString &name, const std::optional<EngineLoad> &load);
    [[nodiscard]] bool isPolledByThisVm(const KnownReplica &replica) const;
    [[nodiscard]] std::chrono::milliseconds pollInterval() const;
    void scheduleLoadReport(const QString &name);
    void sendLoadReport();
    void receiveLoadReport(const PeerFrame &frame);
    void schedulePublish();
    void publishNow();

    ReplicaRegistryEnvironment environment;
    ReplicaRegistrySettings settings;
    TimerService &timers;
    std::mt19937_64 random;
    ConnectionPool connections;
    EngineClient engineClient;
    QByteArray replicaPrefix;
    /** Key prefixes in the store whose first read has not succeeded yet. */
    std::set<QByteArray> unreadKeyPrefixes;
    std::map<QString, KnownReplica> replicas;
    QHash<QString, bool> vmIsLeaving; ///< by VM name
    std::shared_ptr<const ZoneView> view;
    std::map<QByteArray, std::unique_ptr<PlatformStore::Watch>> watches; ///< by prefix
    std::map<QByteArray, TimerSubscription> readRetries;                 ///< by prefix
    std::set<QString> unreportedReplicas; ///< polled here, load not yet sent to the peers
    TimerSubscription reportTimer;
    TimerSubscription publishTimer;
    bool publishPending = false;
    bool reportPending = false;
    std::shared_ptr<const ReplicaSet> published = std::make_shared<ReplicaSet>();
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux
