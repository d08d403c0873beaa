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

/** Mechanisms that a test takes away, to see that its checks notice. */
struct FleetFaults
{
    bool journalIgnoresFence = false;      ///< a replaced owner may still commit
    bool journalForgetsEntries = false;    ///< a takeover doesn't know the last debits
    bool clocksFreeze = false;             ///< a paused VM doesn't see that its tokens lapsed
    bool storeIgnoresRevision = false;     ///< writes of shares aren't compare-and-swap
    bool transfersAreNotWithdrawn = false; ///< a share is written as given while it is still used
};

/** What a fleet is made of. */
struct FleetPlan
{
    int zones = 3;
    int vmsPerZone = 2;
    std::vector<Allowance> allowances; ///< one team for each, with the plan's name
    double sitePowerCapWatts = 0;
    bool borrowing = true;
    ShareDecision decision = &DemandDrivenShares::decide;
    std::uint64_t seed = 1;
    FleetFaults faults = {};
};

/** The gates and owners of one VM, on one thread. */
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
    Gates and owners of a whole fleet in one thread and virtual time, for tests of the allowances.
    Journals are modelled by JournalDomain; frames travel through an InMemoryPeerNetwork.
*/
class AllowanceFleet
{
public:
    explicit AllowanceFleet(FleetPlan fleetPlan);
    ~AllowanceFleet();

    /** Sends a request of the team to the VM; its decision is added to events. */
    void request(std::size_t vm, const QString &team);

    void advance(std::chrono::milliseconds duration);

    /** Ends a VM at once; its zone's view drops it after the detection time. */
    void kill(std::size_t vm);

    /** Stops a VM; its zone's view drops it after the detection time. */
    void pause(std::size_t vm);

    /** Lets a paused VM go on; it learns of the views it missed somewhat later. */
    void resume(std::size_t vm);

    /** Cuts a zone off from the others and from the store. */
    void cutZone(int zone);
    void healZones();

    /** Puts a configuration into force on every VM. */
    void setConfiguration(const std::shared_ptr<const Configuration> &accepted);

    /** Returns the indices of the VMs of a zone that run. */
    std::vector<std::size_t> running(int zone) const;
    std::vector<std::size_t> running() const;

    /** Gives the VMs of a zone a journal that lost its entries, as after the loss of both copies.
     */
    void loseJournal(int zone);

    /** Returns the parts that the zones' owners use in all. */
    std::uint64_t partsInUse(const ShareItem &item) const;

    /** Returns the parts that the store's record gives to all zones. */
    std::uint64_t partsInStore(const ShareItem &item) const;

    static QString zoneName(int zone);

    FleetPlan plan;
    ManualTimerService timers;
    std::mt19937_64 random;
    InMemoryPeerNetwork network;
    InMemoryPeerNetwork controlNetwork;
    std::shared_ptr<InMemoryStoreServer> storeServer;
    std::vector<std::unique_ptr<FleetVm>> vms; ///< null for a VM that was killed
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
