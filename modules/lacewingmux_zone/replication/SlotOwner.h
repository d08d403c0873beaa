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
    The part of a VM that owns slots: it finds and fetches the authoritative copy, brings the
    backup to the same state, and then sends it each entry and commits what it acknowledges.

    All messages that reach it are of the epoch that this VM has adopted.
*/
class SlotOwner
{
public:
    /** What the journal's users are told. */
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

    /** Forgets the transfers of the earlier view. */
    void beginView();

    /** Begins the recovery of a slot that this VM owns in the view just adopted. */
    void recover(SlotIndex index);

    /** Ends the ownership of a slot: tells the users, then steps its pending entries down. */
    void stepDown(SlotIndex index);

    /** Appends a change to a slot whose users were told that it is active. */
    void append(SlotIndex index, const JournalChange &change, Journal::Callback callback);

    void onAnswers(const VmIncarnation &vm, const std::vector<SurveyAnswer> &answers);
    void onServedPieces(const VmIncarnation &holder, const std::vector<StatePiece> &pieces);
    void onStateAcks(const VmIncarnation &backup, const std::vector<StateAck> &acks);
    void onAppendAcks(const VmIncarnation &backup, const std::vector<AppendAck> &acks);
    void onActivatedRequests(const VmIncarnation &holder, const std::vector<SlotIndex> &slots);

    /** Sends again what a broken link may have lost. */
    void onLinkUp(const VmIncarnation &peer);

    /** Sends again what got no answer in time, gives up lost slots and marks stalled ones. */
    void tick();

private:
    void advance(SlotIndex index);
    void ask(SlotIndex index);
    [[nodiscard]] std::vector<VmIncarnation> asked(const Slot &slot) const;
    [[nodiscard]] bool hasLocalCopy(const Slot &slot) const;
    [[nodiscard]] bool isLost(const Slot &slot) const;
    [[nodiscard]] bool concerns(const Slot &slot, const VmIncarnation &peer) const;
    void giveUp(SlotIndex index);
    void reportLost(unsigned slots);
    void pull(SlotIndex index);
    void push(SlotIndex index);
    void pushWhole(SlotIndex index);
    void resend(SlotIndex index);
    void startWaiting();
    void activate(SlotIndex index, std::uint64_t backupSequence);
    void announce(SlotIndex index);
    void sendUnsent(SlotIndex index);
    void commitThrough(SlotIndex index, std::uint64_t sequence);
    void commitAlone();
    void scheduleLoneCommit(SlotIndex index);
    void markStalled(Slot &slot) const;
    void finish(const std::vector<AppendWindow::Pending> &entries, AppendOutcome outcome);

    JournalContext &context;
    Hooks hooks;
    std::deque<SlotIndex> waitingForTurn;
    int transfers = 0;
    std::vector<SlotIndex> loneCommits;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
