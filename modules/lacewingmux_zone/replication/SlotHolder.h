#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_zone/replication/JournalMessages.h"

#include <vector>

namespace lacewingmux {

struct JournalContext;
struct Slot;

/**
    Handles this VM's copies of slots owned by other VMs: answers surveys, transfers copies to new
    owners, and, as a backup, installs the owner's copy and applies its entries.

    All messages it receives carry the epoch that this VM has adopted.
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

    /** Discards copies made obsolete by a later activation. */
    void onActivated(const VmIncarnation &owner, const std::vector<ActivatedSlot> &activated);

    /** Asks the owners of slots whose old copies are still held here whether they are active. */
    void queryOldCopyOwners();

    /** Returns whether this VM holds copies only of slots that it owns or backs up. */
    [[nodiscard]] bool hasNoOldCopies() const;

private:
    [[nodiscard]] bool isBackupOf(const VmIncarnation &owner, SlotIndex slot) const;
    [[nodiscard]] StateAck installPiece(Slot &slot, const StatePiece &piece);
    [[nodiscard]] StateAck retainCopy(Slot &slot, const StatePiece &instruction);
    [[nodiscard]] bool applyEntry(Slot &slot, const AppendEntry &entry);
    void acknowledgeWithoutFence(const VmIncarnation &owner, const AppendEntry &entry);

    JournalContext &context;
};

} // namespace lacewingmux
