#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/membership/HeartbeatMonitor.h"
#include "lacewingmux_zone/membership/MembershipSettings.h"
#include "lacewingmux_zone/membership/ViewProposal.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"
#include "lacewingmux_zone/membership/ZoneRecordStore.h"

#include <QString>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

class FleetViews;
class MetricsRecorder;
class PeerHub;
class PlatformStore;
struct PeerFrame;

/**
    Makes this VM a member of its zone, proposes changes to the zone's view and tracks the views of
    the other zones.

    The platform's store holds one record per zone, changed only by compare-and-swap. VMs monitor
    each other by heartbeats on the control channel. Each VM sends them to the few VMs that follow
    it in name order, so heartbeat traffic grows linearly with the number of VMs, not
    quadratically. A VM that detects a reason for a view change proposes one by the rules of
    proposeMembers(). The view doesn't change while the store is unreachable. Two VMs of a zone
    watch the store; the others learn of views from their peers and poll the store.

    Runs on the control thread. Set the handler, then call start().
*/
class ZoneMembership
{
public:
    using ViewsHandler = std::function<void(const std::shared_ptr<const FleetViews> &views,
                                            const ViewHistory &ownHistory)>;

    ZoneMembership(PeerHub &controlHub, PlatformStore &platformStore, TimerService &timerService,
                   MetricsRecorder &metricsRecorder, VmDescriptor ownDescriptor,
                   ZoneMembershipSettings membershipSettings = {});
    ~ZoneMembership();
    ZoneMembership(const ZoneMembership &) = delete;
    ZoneMembership &operator=(const ZoneMembership &) = delete;

    /** Sets the handler called with each new set of views and this zone's view history. */
    void setViewsHandler(ViewsHandler handler);

    /**
        Sets the peers that are asked for views at startup, besides the store. Their VM names may
        be empty.
    */
    void setSeeds(std::vector<VmDescriptor> seedPeers);

    /** Starts monitoring, sending heartbeats and joining the zone. */
    void start();

    /** Starts leaving the zone's view; isMember() returns false once this is complete. */
    void leave();

    /** Reports that the journal has settled: all of this VM's slots are active in the epoch. */
    void journalSettled(std::uint64_t epoch);

    /** Reports that a peer has adopted an epoch; reads the store if this VM's view is older. */
    void newerEpochSeen(std::uint64_t epoch);

    /** Returns whether this VM is in its zone's view as last known here. */
    [[nodiscard]] bool isMember() const;

    /** Returns whether this VM is the only member of its zone's view as last known here. */
    [[nodiscard]] bool isSoleMember() const;

    /** Returns the view of this VM's zone; its epoch is 0 before the first view. */
    [[nodiscard]] std::shared_ptr<const ZoneView> ownView() const;

    /** Returns the views of all zones that this VM knows. */
    [[nodiscard]] std::shared_ptr<const FleetViews> views() const;

    /** Returns whether this VM is one of its zone's watchers of the store. */
    [[nodiscard]] bool isWatcher() const;

    /** Returns whether the store answered this VM's last call. */
    [[nodiscard]] bool isStoreReachable() const;

private:
    /** A VM that knows this zone's view, isn't in it, and sends heartbeats to be added. */
    struct Joiner
    {
        VmDescriptor descriptor;
        TimerService::SteadyTime heardAt;
    };

    /** The source from which a zone's record was received. */
    enum class RecordSource : std::uint8_t { Store, Peer };

    void subscribe();
    void tick();
    void sendHeartbeats();
    void proposeViewChange();
    [[nodiscard]] ViewProposalInput proposalInput(const ZoneRecord &record) const;
    [[nodiscard]] bool mayNeedViewChange() const;

    /**
        Returns the silent members to remove. If several members are silent, the failure timeout is
        multiplied by their number: this VM is then probably isolated itself, and the VMs that find
        only one member silent, this VM, must act first.
    */
    [[nodiscard]] std::vector<VmIncarnation> silentMembers() const;
    void onHeartbeat(const PeerFrame &frame);
    void onLink(const VmIncarnation &peer, bool up);
    void onRecord(const ZoneRecord &record, RecordSource source);
    void adoptOwnRecord(const ZoneRecord &record);
    void callViewsHandler();
    void sendRecordToPeers(const ZoneRecord &record);
    void updatePeers();
    [[nodiscard]] std::vector<VmDescriptor> watchersOf(const ZoneView &view) const;

    /**
        Returns the heartbeatFanOut members next to this VM in name order, where the first follows
        the last. Direction 1 gives those after it, which receive its heartbeats; -1 gives those
        before it, whose heartbeats it receives.
    */
    [[nodiscard]] std::vector<VmIncarnation> heartbeatPeers(int direction) const;
    [[nodiscard]] ZoneRecord ownRecord() const;

    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    VmDescriptor self;
    ZoneMembershipSettings settings;
    ZoneRecordStore records;
    HeartbeatMonitor monitor;
    ViewsHandler viewsHandler;
    std::vector<VmDescriptor> seeds;
    std::map<QString, ZoneRecord> recordsByZone;
    std::shared_ptr<const FleetViews> fleetViews;
    std::map<VmIncarnation, Joiner> joiners;
    TimerService::SteadyTime startedAt{};
    TimerService::SteadyTime epochToSettleSince{}; ///< when epochToSettle was last set
    TimerService::SteadyTime lastMemberContactAt{};
    std::uint64_t settledEpoch = 0;

    /** The epoch of the last view that removed a member or added this VM. */
    std::uint64_t epochToSettle = 0;

    bool leaving = false;
    TimerSubscription heartbeat;
};

} // namespace lacewingmux
