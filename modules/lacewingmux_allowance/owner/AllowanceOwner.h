#pragma once

#include "lacewingmux_allowance/aggregates/DecayingRate.h"
#include "lacewingmux_allowance/aggregates/PowerAllowance.h"
#include "lacewingmux_allowance/aggregates/TeamAllowance.h"
#include "lacewingmux_allowance/messages/GrantMessages.h"
#include "lacewingmux_allowance/owner/CommitBatch.h"
#include "lacewingmux_allowance/owner/ItemDemand.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

class Configuration;
class FleetViews;
class Journal;
class MetricsRecorder;
class PeerHub;
class ShareTable;
class TimerService;
struct AggregateRecord;
struct PeerFrame;

/**
    Owns the allowances in the slots that this VM owns, on the traffic thread.

    It handles requests of fronts, including that of its own VM, and sends a grant only after
    the journal has committed the debit. The ShareRebalancer withdraws parts of shares and
    restores lost shares through it.
*/
class AllowanceOwner
{
public:
    using GrantCallback = std::function<void(const GrantReply &)>;
    using PowerCallback = std::function<void(const PowerReply &)>;

    AllowanceOwner(Journal &ownJournal, PeerHub &trafficHub, TimerService &timerService,
                   MetricsRecorder &metricsRecorder);
    ~AllowanceOwner();
    AllowanceOwner(const AllowanceOwner &) = delete;
    AllowanceOwner &operator=(const AllowanceOwner &) = delete;

    /** Applies a configuration unless a higher revision has already been applied. */
    void adoptConfiguration(std::shared_ptr<const Configuration> configuration);

    /** Sets the views; power of departed VMs is reclaimed after the longest run time. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /** Applies the zone's shares as read from the share records; counters never decrease. */
    void adoptShares(std::shared_ptr<const ShareTable> shareTable);

    /** Grants tokens to a front; calls back after the commit, or at once if none is needed. */
    void requestGrant(const VmIncarnation &front, const GrantRequest &request,
                      GrantCallback callback);

    /** Sets the power that a VM of this zone holds; calls back after the commit. */
    void requestPower(const VmIncarnation &holder, const PowerRequest &request,
                      PowerCallback callback);

    /**
        Stops using parts of a share, for transfer to another zone. demands() reports them as
        drainedGiven once the withdrawal is committed and none of their tokens can still be in use;
        only then may the transfer be written to the share record.
    */
    void withdrawParts(const ShareItem &item, std::uint64_t parts);

    /** Sets the share of an item whose journal was lost, as read from a fenced share record. */
    void adoptFencedShare(const ShareItem &item, const ShareCounters &recorded);

    /** Returns the demand and the share of every item that this VM owns. */
    [[nodiscard]] std::vector<ItemDemand> demands();

private:
    using Time = std::chrono::steady_clock::time_point;

    struct OwnedTeam
    {
        TeamAllowance allowance;
        DecayingRate demand;
        std::uint64_t drainedGiven = 0; ///< counter of parts given and no longer in use
        bool shareLost = false;
    };
    struct OwnedPower
    {
        PowerAllowance allowance;
        double unmetWatts = 0; ///< shortfall of the last request
        std::uint64_t drainedGiven = 0;
        bool shareLost = false;
    };

    /** Parts given whose tokens may still be in use. */
    struct DrainingTransfer
    {
        ShareItem item;
        std::uint64_t given = 0; ///< value of the journaled counter
        Time drainedAt;          ///< when the tokens outstanding at the commit have expired
    };

    void registerHandlers();
    void activate(SlotIndex slot, const std::vector<AggregateRecord> &records);
    void recover(const AggregateRecord &record, bool complete);
    void deactivate(SlotIndex slot);
    /** Returns whether this VM owns the aggregate; sets complete to whether no state was lost. */
    [[nodiscard]] bool owns(const AggregateId &aggregate, bool &complete) const;
    [[nodiscard]] OwnedTeam *ownedTeam(const QString &team);
    [[nodiscard]] OwnedPower *ownedPower();
    void applyLimitsAndShare(const QString &team, OwnedTeam &owned) const;
    void applyLimitsAndShare(OwnedPower &owned) const;
    void commit(const ShareItem &item, CommitBatch::Callback callback);
    [[nodiscard]] QByteArray entryOf(const ShareItem &item) const;
    void startDraining(const ShareItem &item, std::uint64_t given);
    void finishDrained();
    [[nodiscard]] ItemDemand demandOf(const QString &team, const OwnedTeam &owned) const;
    [[nodiscard]] ItemDemand demandOf(const OwnedPower &owned) const;
    void updateHolderPresence();
    void reclaimPower();
    /** Returns the first grant id of an allowance, a hash of this VM and the current time. */
    [[nodiscard]] std::uint64_t firstGrantId() const;
    /** Returns how long the power of a departed VM may still be in use. */
    [[nodiscard]] std::chrono::milliseconds powerHoldTime() const;
    void handleGrantRequest(const VmIncarnation &sender, const PeerFrame &frame);
    void handlePowerRequest(const VmIncarnation &sender, const PeerFrame &frame);

    Journal &journal;
    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    const QString zone;
    CommitBatch batch;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const FleetViews> views;
    std::shared_ptr<const ShareTable> shares;
    std::chrono::milliseconds longestCallTimeout{0}; ///< of all revisions applied
    std::map<QString, OwnedTeam> teams;
    std::optional<OwnedPower> power;
    std::vector<DrainingTransfer> drainingTransfers;
    TimerSubscription reclaimTimer;
    std::shared_ptr<bool> alive; ///< false once destroyed; disables pending callbacks
};

} // namespace lacewingmux
