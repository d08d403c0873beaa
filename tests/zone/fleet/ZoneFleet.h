#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/membership/ZoneMembership.h"
#include "lacewingmux_zone/replication/ReplicatedJournal.h"
#include "zone/model/ClaimRunner.h"
#include "zone/model/ModelChecks.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace lacewingmux {

/**
    The VMs of one zone with membership and journal together, on an in-memory store and two
    networks, under a continuous load of claims. Uses virtual time.
*/
class ZoneFleet
{
public:
    explicit ZoneFleet(std::uint64_t seed);

    /** Starts a VM, or starts it again as a new incarnation. */
    void start(const QString &vm);

    /** Ends a VM immediately. */
    void kill(const QString &vm);

    /** Isolates a VM from all other VMs and the store. */
    void isolate(const QString &vm);
    void heal();

    /** Starts a planned stop of a VM. */
    void leave(const QString &vm);

    /** Advances time and submits a claim at each step of 20 ms. */
    void run(std::chrono::milliseconds duration);

    /** Advances time until the condition holds; returns whether it did within three minutes. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition);

    /** Returns whether these VMs are in one view and all their slots are active in it. */
    [[nodiscard]] bool isSettled(const std::vector<QString> &vms) const;

    /** Returns whether the VM may exit after its planned stop. */
    [[nodiscard]] bool isDrained(const QString &vm) const;

    std::shared_ptr<InMemoryStoreServer> store;
    ModelChecks checks;

private:
    struct Vm
    {
        VmDescriptor descriptor;
        std::unique_ptr<PeerHub> controlHub;
        std::unique_ptr<PeerHub> trafficHub;
        std::unique_ptr<InMemoryPlatformStore> store;
        std::unique_ptr<ZoneMembership> membership;
        std::unique_ptr<ReplicatedJournal> journal;
        std::unique_ptr<ClaimRunner> claims;
    };

    void connectHandlers(Vm &vm);
    void submitClaim();

    std::mt19937_64 random;
    ManualTimerService timers;
    InMemoryPeerNetwork control;
    InMemoryPeerNetwork traffic;
    IgnoringMetricsRecorder metrics;
    std::map<QString, Vm> vms;
    std::uint64_t nextIncarnation = 1;
    std::vector<ModelEffect> claims;
};

} // namespace lacewingmux
