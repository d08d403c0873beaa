#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_zone/replication/JournalMessages.h"

#include <vector>

namespace lacewingmux {

struct JournalContext;
struct Slot;

/**
    The part of a VM that holds copies of slots owned by others: it answers surveys, hands its
    copies to new owners, and as a backup takes in the owner's copy and entries.

    All messages that reach it are of the epoch that this VM has adopted.
*/
class SlotHolder
{
public:
    explicit SlotHolder(JournalContext &journalContext);
    SlotHolder(const SlotHolder &) = delete;
    SlotHolder &operator=(const SlotHolder &) = delete;

    void onSurvey(const VmIncarnation &owner, const std::vector<SlotIndex> &slots);
    void onStateRequests(const VmIncarnation &owner, const std::vector<StateRequest> &requests);
    void onStatePieces(const VmIncarnation &owner, const std::vector<StatePiece> &pieces);
    void onAppends(const VmIncarnation &owner, const std::vector<AppendEntry> &entries);

    /** Drops copies that a later activation has made superfluous. */
    void onActivated(const VmIncarnation &owner, const std::vector<ActivatedSlot> &activated);

    /** Asks the owners of slots whose old copies are still held here whether they are active. */
    void askAboutOldCopies();

    /** Tells whether this VM holds no copy that it has no role for. */
    [[nodiscard]] bool isRidOfOldCopies() const;

private:
    [[nodiscard]] bool isBackupOf(const VmIncarnation &owner, SlotIndex slot) const;
    [[nodiscard]] StateAck takePiece(Slot &slot, const StatePiece &piece);
    [[nodiscard]] StateAck keepCopy(Slot &slot, const StatePiece &order);
    [[nodiscard]] bool takeEntry(Slot &slot, const AppendEntry &entry);
    void acknowledgeWithoutFence(const VmIncarnation &owner, const AppendEntry &entry);

    JournalContext &context;
};

} // namespace lacewingmux
