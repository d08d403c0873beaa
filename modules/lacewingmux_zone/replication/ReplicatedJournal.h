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
    The journal of the aggregates whose slots this VM owns, with a copy at each slot's backup.

    It is handed each view of the zone with adoptView, and from then on neither sends nor accepts
    anything of an earlier epoch. A slot becomes active once its authoritative copy is found and
    the backup holds it too; an entry is committed when the backup has acknowledged it, or at once
    where the view names this VM alone. See docs/design/slot-replication.md for the protocol and
    what it rests on. One thread: that of the traffic hub and the timers.
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
        Takes over a view of the zone with the views before it. One that isn't newer is ignored.
        Also given a view that this VM isn't in: it then owns nothing, and still hands out the
        copies it holds until the slots are active elsewhere.
    */
    void adoptView(std::shared_ptr<const ZoneView> view, const ViewHistory &history);

    /** Sets a handler told, now and then, of an epoch that a peer has adopted and this VM hasn't.
     */
    void setNewerEpochHandler(EpochHandler handler);

    /** Sets a handler told when all slots of this VM have become active in an epoch. */
    void setSettledHandler(EpochHandler handler);

    /** Tells whether each slot that this VM owns or backs up is active in the current view. */
    [[nodiscard]] bool isSettled() const;

    /** Tells whether this VM has left the view, and nobody needs its copies any more. */
    [[nodiscard]] bool isDrained() const;

    /** Returns the epoch of the view adopted last; 0 before the first. */
    [[nodiscard]] std::uint64_t epoch() const;

    /** Returns how far this VM's copy of the slot has come. */
    [[nodiscard]] const SlotPosition &position(SlotIndex slot) const;

    /** Returns the records of this VM's copy, with entries that aren't committed yet. */
    [[nodiscard]] const RecordMap &records(SlotIndex slot) const;

    [[nodiscard]] SlotStatus status(SlotIndex slot) const override;
    [[nodiscard]] std::uint64_t completeSince(SlotIndex slot) const override;
    void append(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override;
    void replace(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override;
    void remove(const AggregateId &aggregate, Callback callback) override;
    void confirmOwnership(SlotIndex slot, Callback callback) override;

    /** Adds a handler; it is called at the next turn for slots that are active by then. */
    void addActivationHandler(ActivationHandler handler) override;
    void addDeactivationHandler(DeactivationHandler handler) override;

private:
    using HeldFrame = std::pair<VmIncarnation, PeerFrame>;

    void subscribe();
    void onFrame(const VmIncarnation &sender, const PeerFrame &frame);
    void dispatch(const VmIncarnation &sender, const PeerFrame &frame);
    void refuse(const VmIncarnation &sender, const PeerFrame &frame);
    void hold(const VmIncarnation &sender, const PeerFrame &frame);
    void replayHeld();
    void needView(std::uint64_t neededView);
    void submit(SlotIndex slot, const JournalChange &change, Callback callback);
    void tellActivated(SlotIndex slot);
    void tellDeactivated(SlotIndex slot);
    void checkSettled();
    void tick();

    JournalContext context;
    SlotHolder holder;
    SlotOwner owner;
    std::vector<ActivationHandler> activationHandlers;
    std::vector<DeactivationHandler> deactivationHandlers;
    EpochHandler newerEpochHandler;
    EpochHandler settledHandler;
    std::deque<HeldFrame> heldFrames;
    std::set<VmIncarnation> failedPeers;
    std::uint64_t neededEpoch = 0; ///< the highest that was asked for since the last tick
    std::uint64_t settledEpoch = 0;
    bool settledCheckScheduled = false;
    TimerSubscription tickSubscription;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
