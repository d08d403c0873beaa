#pragma once

#include "allowance/support/AdmissionEvents.h"
#include "allowance/support/ModelJournal.h"
#include "allowance/support/PausableTimers.h"
#include "lacewingmux_allowance/lacewingmux_allowance.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_keyvalue/memory/InMemoryStoreServer.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace lacewingmux::test {

/** Safety mechanisms to disable, to verify that the checks detect the resulting violations. */
struct FleetFaults
{
    bool journalIgnoresFence = false;      ///< a replaced owner may still commit
    bool journalForgetsEntries = false;    ///< a takeover misses the last debits
    bool clocksFreeze = false;             ///< a paused VM doesn't detect that its tokens expired
    bool storeIgnoresRevision = false;     ///< share writes ignore the expected revision
    bool transfersAreNotWithdrawn = false; ///< parts are written as given while still in use
};

/** The setup of a fleet. */
struct FleetPlan
{
    int zones = 3;
    int vmsPerZone = 2;
    std::vector<Allowance> allowances; ///< one team per plan, with the plan's name
    double sitePowerCapWatts = 0;
    bool borrowing = true;
    ShareDecision decision = &DemandDrivenShares::decide;
    std::uint64_t seed = 1;
    FleetFaults faults = {};
};

/** The admission gates, owner and rebalancer of one VM, on one thread. */
struct FleetVm
{
    VmIncarnation incarnation;
    std::unique_ptr<PausableTimers> timers;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<ModelJournal> journal;
    std::unique_ptr<AllowanceOwner> owner;
    std::unique_ptr<TeamAdmission> admission;
    std::unique_ptr<ZonePowerBudget> power;
    std::unique_ptr<PeerHub> controlHub;
    std::unique_ptr<PlatformStore> store;
    std::unique_ptr<ShareRebalancer> rebalancer;
    bool paused = false;
};

/**
    The admission gates and owners of a whole fleet, on one thread in virtual time, for tests of the
    allowances. Journals are simulated by JournalDomain and links by InMemoryPeerNetwork.
*/
class AllowanceFleet
{
public:
    explicit AllowanceFleet(FleetPlan fleetPlan);
    ~AllowanceFleet();

    /** Sends a request of the team to the VM; the decision is appended to events. */
    void request(std::size_t vm, const QString &team);

    void advance(std::chrono::milliseconds duration);

    /** Kills a VM; it is removed from its zone's view after the detection time. */
    void kill(std::size_t vm);

    /** Pauses a VM; it is removed from its zone's view after the detection time. */
    void pause(std::size_t vm);

    /** Resumes a paused VM; it receives the views it missed after a short delay. */
    void resume(std::size_t vm);

    /** Partitions a zone from the others and from the store. */
    void cutZone(int zone);
    void healZones();

    /** Applies a configuration on every VM. */
    void setConfiguration(const std::shared_ptr<const Configuration> &accepted);

    /** Returns the indices of the running VMs of a zone, or of all zones. */
    std::vector<std::size_t> running(int zone) const;
    std::vector<std::size_t> running() const;

    /** Empties the journal of a zone, as after the loss of both copies. */
    void loseJournal(int zone);

    /** Returns the total parts that the zones' owners use. */
    std::uint64_t partsInUse(const ShareItem &item) const;

    /** Returns the total parts of all zones in the store's record. */
    std::uint64_t partsInStore(const ShareItem &item) const;

    static QString zoneName(int zone);

    FleetPlan plan;
    ManualTimerService timers;
    std::mt19937_64 random;
    InMemoryPeerNetwork network;
    InMemoryPeerNetwork controlNetwork;
    std::shared_ptr<InMemoryStoreServer> storeServer;
    std::vector<std::unique_ptr<FleetVm>> vms; ///< null for a killed VM
    std::vector<AdmissionEvent> events;
    std::shared_ptr<const Configuration> configuration;

private:
    void makeVm(int zone, int index);
    void makeRebalancer(FleetVm &vm);
    void dropFromView(const VmIncarnation &vm);
    void deliverViews(FleetVm &vm);
    void deliverViewsToAll();
    VmDescriptor descriptorOf(const VmIncarnation &vm) const;

    IgnoringMetricsRecorder metrics;
    std::map<QString, std::shared_ptr<JournalDomain>> domains;
    std::map<QString, std::shared_ptr<const ZoneView>> views;
    std::map<std::size_t, VmIncarnation> incarnations;
    std::vector<TimerSubscription> pending;
};

} // namespace lacewingmux::test
