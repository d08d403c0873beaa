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
    std::chrono::milliseconds minPollInterval{250}; ///< between two reads of one replica's load
    std::chrono::milliseconds pollIntervalPerReplica{
            10};            ///< a larger zone polls each replica more seldom
    std::uint64_t seed = 0; ///< of the jitter
};

/** What a ReplicaRegistry works with; all of it outlives the registry. */
struct ReplicaRegistryEnvironment
{
    TimerService &timers;
    PlatformStore &store;
    PeerHub *hub = nullptr; ///< control channel; null when the loads aren't shared
    VmIncarnation self;
    std::function<void(std::shared_ptr<const ReplicaSet>)> publish;
};

/**
    Knows the replicas of this VM's zone; lives on the control thread.

    It reads and watches the records under lacewingmux/backends/<zone>/ and the platform's list of
    VMs. A replica whose VM is leaving, has gone or was taken off the list is published as leaving.
    With the store down it goes on with what it knows; nothing is published before both were read
    once. The load of each engine is read by one VM of
    the zone, chosen by rendezvous hash, and told to the others; a VM that hears nothing of a
   replica for a while reads it itself. Every change is published as an immutable ReplicaSet.
*/
class ReplicaRegistry
{
public:
    explicit ReplicaRegistry(const ReplicaRegistryEnvironment &registryEnvironment,
                             const ReplicaRegistrySettings &registrySettings = {});
    ~ReplicaRegistry();
    ReplicaRegistry(const ReplicaRegistry &) = delete;
    ReplicaRegistry &operator=(const ReplicaRegistry &) = delete;

    /** Begins to read, watch and poll. */
    void start();

    /** Takes the view of the own zone, which decides who reads whose load. */
    void adoptView(std::shared_ptr<const ZoneView> zoneView);

    /** Returns what was published last. */
    [[nodiscard]] std::shared_ptr<const ReplicaSet> current() const
    {
        return this->published;
    }

private:
    struct KnownReplica
    {
        ReplicaRecord record;
        std::optional<MeasuredLoad> load;
        TimerService::SteadyTime loadUpdatedAt; ///< of its load, from the replica or a peer
        TimerSubscription nextPoll;
    };

    void readRecords(const QByteArray &prefix, std::chrono::milliseconds retryDelay);
    void watch(const QByteArray &prefix, std::int64_t afterRevision);
    void applyChange(const StoreRecord &change);
    void applyReplicaRecord(const QString &name, const QByteArray &json);
    void applyVmRecord(const QString &vm, const QByteArray &json);
    void schedulePoll(const QString &name);
    void poll(const QString &name);
    void loadReceived(const QString &name, const std::optional<EngineLoad> &load);
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
    std::set<QByteArray> unreadPrefixes; ///< prefixes that were not yet read for the first time
    std::map<QString, KnownReplica> replicas;
    QHash<QString, bool> vmIsLeaving; ///< by VM
    std::shared_ptr<const ZoneView> view;
    std::map<QByteArray, std::unique_ptr<PlatformStore::Watch>> watches; ///< by prefix
    std::map<QByteArray, TimerSubscription> readRetries;                 ///< by prefix
    std::set<QString> unreportedReplicas; ///< replicas whose load was read here and not yet told
    TimerSubscription reportTimer;
    TimerSubscription publishTimer;
    bool publishPending = false;
    bool reportPending = false;
    std::shared_ptr<const ReplicaSet> published = std::make_shared<ReplicaSet>();
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux
