#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/replication/AppendWindow.h"
#include "lacewingmux_zone/replication/JournalMessages.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

struct JournalContext;
struct Slot;

/**
    Handles the slots that this VM owns: locates and fetches the authoritative copy, synchronizes
    the backup, then sends each entry to the backup and commits the acknowledged ones.

    All messages it receives carry the epoch that this VM has adopted.
*/
class SlotOwner
{
public:
    /** Callbacks into the journal. */
    struct Hooks
    {
        std::function<void(SlotIndex)> activated;
        std::function<void(SlotIndex)> deactivated;
        std::function<void()> progressed; ///< a slot has become active
    };

    SlotOwner(JournalContext &journalContext, Hooks ownerHooks);
    ~SlotOwner();
    SlotOwner(const SlotOwner &) = delete;
    SlotOwner &operator=(const SlotOwner &) = delete;

    /** Discards the transfers of the earlier view. */
    void beginView();

    /** Starts recovery of a slot that this VM owns in the view just adopted. */
    void recover(SlotIndex index);

    /** Ends ownership of a slot: reports the deactivation, then ends pending entries as
     * SteppedDown. */
    void stepDown(SlotIndex index);

    /** Appends a change to a slot that was reported as active. */
    void append(SlotIndex index, const JournalChange &change, Journal::Callback callback);

    void onAnswers(const VmIncarnation &vm, const std::vector<SurveyAnswer> &answers);
    void onServedPieces(const VmIncarnation &holder, const std::vector<StatePiece> &pieces);
    void onStateAcks(const VmIncarnation &backup, const std::vector<StateAck> &acks);
    void onAppendAcks(const VmIncarnation &backup, const std::vector<AppendAck> &acks);
    void onActivatedRequests(const VmIncarnation &holder, const std::vector<SlotIndex> &slots);

    /** Resends messages that a broken link may have lost. */
    void onLinkUp(const VmIncarnation &peer);

    /** Resends unanswered messages, declares slots lost and marks stalled slots. */
    void tick();

private:
    void advance(SlotIndex index);
    void sendSurveys(SlotIndex index);
    [[nodiscard]] std::vector<VmIncarnation> surveyTargets(const Slot &slot) const;
    [[nodiscard]] bool hasLocalCopy(const Slot &slot) const;
    [[nodiscard]] bool isLost(const Slot &slot) const;
    [[nodiscard]] bool involves(const Slot &slot, const VmIncarnation &peer) const;
    void declareLost(SlotIndex index);
    void reportLost(unsigned slots);
    void pull(SlotIndex index);
    void push(SlotIndex index);
    void pushFullCopy(SlotIndex index);
    void resend(SlotIndex index);
    void startQueuedTransfers();
    void activate(SlotIndex index, std::uint64_t backupSequence);
    void announceActivation(SlotIndex index);
    void sendUnsent(SlotIndex index);
    void commitThrough(SlotIndex index, std::uint64_t sequence);
    void commitWithoutBackup();
    void scheduleCommitWithoutBackup(SlotIndex index);
    void markStalled(Slot &slot) const;
    void invokeCallbacks(const std::vector<AppendWindow::Pending> &entries, AppendOutcome outcome);

    JournalContext &context;
    Hooks hooks;
    std::deque<SlotIndex> transferQueue;
    int activeTransfers = 0;
    std::vector<SlotIndex> pendingWithoutBackup;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
