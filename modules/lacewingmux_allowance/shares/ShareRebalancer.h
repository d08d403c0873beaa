#pragma once

#include "lacewingmux_allowance/owner/ItemDemand.h"
#include "lacewingmux_allowance/shares/DemandDrivenShares.h"
#include "lacewingmux_allowance/shares/ReportedNeeds.h"
#include "lacewingmux_allowance/shares/ShareRecordStore.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

class Configuration;
class FleetViews;
class MetricsRecorder;
class PeerHub;
class PlatformStore;
class TimerService;
struct PeerFrame;

/** Functions by which a ShareRebalancer calls the AllowanceOwner on the traffic thread. */
struct ShareRebalancerHooks
{
    using DemandCallback = std::function<void(std::vector<ItemDemand>)>;

    /** Calls AllowanceOwner::demands; calls back on the control thread. */
    std::function<void(DemandCallback)> collectDemands;

    /** Calls AllowanceOwner::withdrawParts. */
    std::function<void(const ShareItem &, std::uint64_t parts)> withdrawParts;

    /** Calls AllowanceOwner::adoptFencedShare. */
    std::function<void(const ShareItem &, const ShareCounters &)> adoptFencedShare;

    /** Calls AllowanceOwner::adoptShares. */
    std::function<void(std::shared_ptr<const ShareTable>)> publishShares;
};

/**
    Transfers the zones' shares of rates, bursts and power in the platform's store, for the items
    that this VM owns, such that the sum of an item's shares stays constant. Runs on the control
    thread.

    A transfer has two steps. The owner journals the parts as given, and waits until none of them
    can be in use. Then one compare-and-swap increases the counters of the donor and the receiver
    in the same record. The current owner of the item repeats the second step until the record
    contains it, so a lost reply, a killed process or a write conflict between the steps neither
    duplicates nor loses a transfer.

    The first member of the zone's view watches the records and announces them to the other members.
*/
class ShareRebalancer
{
public:
    ShareRebalancer(PlatformStore &platformStore, PeerHub &controlHub, TimerService &timerService,
                    MetricsRecorder &metricsRecorder, ShareRebalancerHooks ownerHooks,
                    std::vector<QString> configuredZones);
    ~ShareRebalancer();
    ShareRebalancer(const ShareRebalancer &) = delete;
    ShareRebalancer &operator=(const ShareRebalancer &) = delete;

    /** Sets the configuration that defines the teams and the power cap. */
    void adoptConfiguration(std::shared_ptr<const Configuration> accepted);

    /** Sets the views that determine owners and members. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /**
        Sets the zones that certainly have no running VMs, according to the platform's list or an
        operator's command. Their shares are reclaimed once no part of them can be in use.
    */
    void setRemovedZones(const std::set<QString> &removedZones);

    /** Replaces the policy that decides on transfers, for measurements and tests. */
    void setTransferPolicy(ShareDecision shareDecision);

    /** Returns the share records known to this VM. */
    [[nodiscard]] const ShareRecordCache &records() const noexcept
    {
        return this->recordStore.cache();
    }

private:
    void registerHandlers();
    void runRound();
    void processDemands(const std::vector<ItemDemand> &demands);
    void rebalanceItem(const ItemDemand &demand);
    void recoverLostShare(const ItemDemand &demand, const SharesByZone &shares);
    void reclaimRemovedZones(const ShareItem &item, const SharesByZone &shares);
    void decideTransfer(const ItemDemand &demand, const SharesByZone &shares);
    void reportNeed(const ItemDemand &demand, const SharesByZone &shares);
    void sendNeeds();
    void createMissingItems();
    /** Returns whether this zone may create a missing item; records since when it is missing. */
    [[nodiscard]] bool isCreationDue(const ShareItem &item);
    [[nodiscard]] std::size_t maxHoldersOf(const ShareItem &item) const;
    [[nodiscard]] std::vector<QString> zonesFor(const ShareItem &item) const;
    [[nodiscard]] QString receiverFor(const ShareItem &item, const SharesByZone &shares) const;
    void handleRecordUpdate(const QByteArray &key, std::int64_t revision, const QByteArray &value);
    void schedulePublish();
    void announce(const QByteArray &key, std::int64_t revision, const QByteArray &value);
    void announceAllTo(const VmIncarnation &peer);
    void handleAnnouncement(const PeerFrame &frame);
    void handleDemandReport(const VmIncarnation &sender, const PeerFrame &frame);
    [[nodiscard]] std::chrono::milliseconds reclaimDelay() const;
    [[nodiscard]] std::uint64_t ownEpoch() const;
    [[nodiscard]] bool owns(const ShareItem &item) const;
    [[nodiscard]] std::vector<ShareItem> configuredItems() const;

    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    ShareRebalancerHooks hooks;
    const QString ownZone;
    std::vector<QString> zones;
    /** When each removed zone was first reported as removed. */
    std::map<QString, std::chrono::steady_clock::time_point> removedSince;
    ShareDecision transferPolicy;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const FleetViews> views;
    ShareRecordStore recordStore;
    ReportedNeeds needs;
    bool publishScheduled = false;
    std::map<VmIncarnation, std::vector<ItemNeed>> needsByOwner; ///< to send in this round
    /** When each item was first found missing from the records. */
    std::map<ShareItem, std::chrono::steady_clock::time_point> missingSince;
    TimerSubscription roundTimer;
    std::shared_ptr<bool> alive; ///< false once destroyed; disables pending callbacks
};

} // namespace lacewingmux
