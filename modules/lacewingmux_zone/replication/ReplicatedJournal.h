#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_peer/messages/PeerFrame.h"
#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/replication/JournalContext.h"
#include "lacewingmux_zone/replication/SlotHolder.h"
#include "lacewingmux_zone/replication/SlotOwner.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace lacewingmux {

struct VmDescriptor;

/**
    The journal of the aggregates whose slots this VM owns, replicated to each slot's backup.

    It receives each view of the zone through adoptView(), and from then on neither sends nor
    accepts messages of an earlier epoch. A slot becomes active once its authoritative copy is
    found and the backup holds it too. An entry is committed when the backup has acknowledged it,
    or on the next turn if this VM is the only member of the view. See
    docs/design/slot-replication.md for the protocol and its assumptions. Runs on the thread of the
    traffic hub and the timers.
*/
class ReplicatedJournal final : public Journal
{
public:
    using EpochHandler = std::function<void(std::uint64_t epoch)>;

    ReplicatedJournal(PeerHub &peerHub, TimerService &timerService,
                      MetricsRecorder &metricsRecorder, const VmDescriptor &self,
                      const JournalSettings &journalSettings = {},
                      const JournalFaults &journalFaults = {});
    ~ReplicatedJournal() override;

    /**
        Adopts a view of the zone, with the history of earlier views. A view that isn't newer is
        ignored. With a view that doesn't contain this VM, the journal owns nothing but still
        serves its copies until the slots are active elsewhere.
    */
    void adoptView(std::shared_ptr<const ZoneView> view, const ViewHistory &history);

    /**
        Sets a handler called when a frame shows that a peer has adopted a newer epoch; at most
        once per epoch and retry interval.
    */
    void setNewerEpochHandler(EpochHandler handler);

    /** Sets a handler called once all slots of this VM have become active in an epoch. */
    void setSettledHandler(EpochHandler handler);

    /** Returns whether each slot that this VM owns or backs up is active in the current view. */
    [[nodiscard]] bool isSettled() const;

    /** Returns whether this VM has left the view and its copies are no longer needed. */
    [[nodiscard]] bool isDrained() const;

    /** Returns the epoch of the view adopted last; 0 before the first. */
    [[nodiscard]] std::uint64_t epoch() const;

    /** Returns the position of this VM's copy of the slot. */
    [[nodiscard]] const SlotPosition &position(SlotIndex slot) const;

    /** Returns the records of this VM's copy, including uncommitted entries. */
    [[nodiscard]] const RecordMap &records(SlotIndex slot) const;

    [[nodiscard]] SlotStatus status(SlotIndex slot) const override;
    [[nodiscard]] std::uint64_t completeSince(SlotIndex slot) const override;
    void append(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override;
    void replace(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override;
    void remove(const AggregateId &aggregate, Callback callback) override;
    void confirmOwnership(SlotIndex slot, Callback callback) override;

    /** Adds a handler; on the next turn it is called for the slots that are then active. */
    void addActivationHandler(ActivationHandler handler) override;
    void addDeactivationHandler(DeactivationHandler handler) override;

private:
    using DeferredFrame = std::pair<VmIncarnation, PeerFrame>;

    void subscribe();
    void onFrame(const VmIncarnation &sender, const PeerFrame &frame);
    void dispatch(const VmIncarnation &sender, const PeerFrame &frame);
    void refuse(const VmIncarnation &sender, const PeerFrame &frame);
    void deferFrame(const VmIncarnation &sender, const PeerFrame &frame);
    void replayDeferredFrames();
    void reportNewerEpoch(std::uint64_t newerEpoch);
    void submit(SlotIndex slot, const JournalChange &change, Callback callback);
    void notifyActivated(SlotIndex slot);
    void notifyDeactivated(SlotIndex slot);
    void checkSettled();
    void tick();

    JournalContext context;
    SlotHolder holder;
    SlotOwner owner;
    std::vector<ActivationHandler> activationHandlers;
    std::vector<DeactivationHandler> deactivationHandlers;
    EpochHandler newerEpochHandler;
    EpochHandler settledHandler;
    std::deque<DeferredFrame> deferredFrames;
    std::set<VmIncarnation> failedPeers;
    std::uint64_t newestReportedEpoch = 0; ///< highest since the last tick
    std::uint64_t settledEpoch = 0;
    bool settledCheckScheduled = false;
    TimerSubscription tickSubscription;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
