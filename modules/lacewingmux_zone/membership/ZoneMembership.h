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
    This VM's part in the membership of its zone, and what it knows of the other zones' views.

    The platform's store holds one record a zone, changed by compare-and-swap alone. VMs watch each
    other by heartbeats on the control channel: each sends them to the few VMs behind it in the
   order of the names, so that a zone's heartbeats grow with its VMs and not with their square. A VM
   that sees a reason for another view proposes one, by the rules of proposeMembers. While the store
   is away the view stands still. Two VMs of a zone watch the store; the others hear of views from
    their peers, and read the store now and then.

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

    /** Sets the handler that is told each new set of views, with the own zone's earlier views. */
    void setViewsHandler(ViewsHandler handler);

    /** Sets daemons to ask for views at the start, beside the store; their names may be empty. */
    void setSeeds(std::vector<VmDescriptor> seedPeers);

    /** Begins to watch, to send heartbeats and to join the zone. */
    void start();

    /** Begins to leave the zone's view; see isMember() for when that is done. */
    void leave();

    /** Tells that the journal has all of this VM's slots active in the epoch. */
    void journalSettled(std::uint64_t epoch);

    /** Tells that a peer has adopted an epoch that this VM doesn't know. */
    void newerEpochSeen(std::uint64_t epoch);

    /** Tells whether this VM is in the view it knows of its zone. */
    [[nodiscard]] bool isMember() const;

    /** Tells whether this VM is the only one in the view it knows. */
    [[nodiscard]] bool isSoleMember() const;

    /** Returns the view of the own zone; its epoch is 0 before the first. */
    [[nodiscard]] std::shared_ptr<const ZoneView> ownView() const;

    /** Returns the views of all zones that this VM knows. */
    [[nodiscard]] std::shared_ptr<const FleetViews> views() const;

    /** Tells whether this VM is one of those that watch the store for its zone. */
    [[nodiscard]] bool isWatcher() const;

    /** Tells whether the store answered this VM's last call. */
    [[nodiscard]] bool isStoreReachable() const;

private:
    /** A VM that knows this zone's view, isn't in it, and sends heartbeats to be taken in. */
    struct Joiner
    {
        VmDescriptor descriptor;
        TimerService::SteadyTime heardAt;
    };

    /** Where a zone's record was learnt. */
    enum class RecordSource : std::uint8_t { Store, Peer };

    void subscribe();
    void tick();
    void sendHeartbeats();
    void considerChange();
    [[nodiscard]] ViewSituation situation(const ZoneRecord &record) const;
    [[nodiscard]] bool seemsChangeNeeded() const;

    /**
        Returns the members to drop for their silence. Whoever hears several no more waits as many
        failure timeouts: it is more likely cut off itself, and those who miss only it come first.
    */
    [[nodiscard]] std::vector<VmIncarnation> silentMembers() const;
    void onHeartbeat(const PeerFrame &frame);
    void onLink(const VmIncarnation &peer, bool up);
    void onRecord(const ZoneRecord &record, RecordSource source);
    void adoptOwn(const ZoneRecord &record);
    void publish();
    void announce(const ZoneRecord &record);
    void updatePeers();
    [[nodiscard]] std::vector<VmDescriptor> watchersOf(const ZoneView &view) const;
    [[nodiscard]] std::vector<VmIncarnation> ring(int direction) const;
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
    TimerService::SteadyTime unsettledSince{};
    TimerService::SteadyTime memberHeardAt{};
    std::uint64_t settledEpoch = 0;
    std::uint64_t epochToSettle = 0; ///< of the last view in which someone went or this VM came
    bool leaving = false;
    TimerSubscription heartbeat;
};

} // namespace lacewingmux
