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

/** How the share keeper reaches the allowance owner of its VM, on the traffic thread. */
struct ShareRebalancerHooks
{
    using DemandCallback = std::function<void(std::vector<ItemDemand>)>;

    /** Asks for AllowanceOwner::demands; calls back on the control thread. */
    std::function<void(DemandCallback)> collectDemands;

    /** Calls AllowanceOwner::withdrawParts. */
    std::function<void(const ShareItem &, std::uint64_t parts)> withdrawParts;

    /** Calls AllowanceOwner::adoptFencedShare. */
    std::function<void(const ShareItem &, const ShareCounters &)> adoptFencedShare;

    /** Calls AllowanceOwner::adoptShares. */
    std::function<void(std::shared_ptr<const ShareTable>)> publishShares;
};

/**
    Keeps the zones' shares of rates, bursts and power conserved in the platform's store, for the
    items that this VM owns; on the control thread.

    A gift has two steps. The owner journals that it has given, and waits until nothing of the gift
    can be in use. Then one compare-and-swap raises the giver's and the receiver's counters in the
    same record. Whoever owns the item then repeats the second step until the record shows it, so a
    lost reply, a kill or a conflict between the steps neither doubles a gift nor loses it.

    The first member of the zone's view watches the records and announces them to its zone.
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

    /** Adopts the configuration that names the teams and the power cap. */
    void adoptConfiguration(std::shared_ptr<const Configuration> accepted);

    /** Adopts the views that name owners and members. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /**
        Sets the zones of which it is certain that none of their VMs runs, by the platform's list or
        an operator's command. Their shares are taken over once nothing of them can be in use.
    */
    void setRemovedZones(const std::set<QString> &zonesWithoutVms);

    /** Replaces the decision about moving shares; for measurements. */
    void setDecision(ShareDecision shareDecision);

    /** Returns the records that this VM knows. */
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
    [[nodiscard]] bool mayCreate(const ShareItem &item);
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
    std::map<QString, std::chrono::steady_clock::time_point> removedSince; ///< by removed zone
    ShareDecision decision;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const FleetViews> views;
    ShareRecordStore recordStore;
    ReportedNeeds needs;
    bool publishScheduled = false;
    std::map<VmIncarnation, std::vector<ItemNeed>> needsByOwner;
    std::map<ShareItem, std::chrono::steady_clock::time_point> missingSince;
    TimerSubscription roundTimer;
    std::shared_ptr<bool> alive; ///< ends callbacks of the hub and the owner with this
};

} // namespace lacewingmux
