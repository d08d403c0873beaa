#include "lacewingmux_zone/replication/SlotHolder.h"

#include "lacewingmux_zone/replication/JournalContext.h"

#include <algorithm>
#include <map>
#include <optional>

namespace lacewingmux {

SlotHolder::SlotHolder(JournalContext &journalContext)
    : context(journalContext)
{ }

void SlotHolder::onSurvey(const VmIncarnation &owner, const std::vector<SlotIndex> &slots)
{
    for (const SlotIndex slot : slots) {
        if (slot >= this->context.slotStates.size())
            continue;
        const SurveyAnswer answer{slot, this->context.slotStates[slot].position};
        this->context.outbox.messagesFor(owner).answers.push_back(answer);
    }
}

void SlotHolder::onStateRequests(const VmIncarnation &owner,
                                 const std::vector<StateRequest> &requests)
{
    for (const StateRequest &request : requests) {
        if (request.slot >= this->context.slotStates.size())
            continue;
        Slot &slot = this->context.slotStates[request.slot];
        if (slot.placement.owner != owner || slot.position.activation != request.activation)
            continue;
        if (!slot.copyToOwner || request.piece == 0)
            slot.copyToOwner = std::make_unique<SlotTransfer>(
                    request.slot, slot.position, slot.records, this->context.settings.frameBytes);
        const std::optional<StatePiece> piece = slot.copyToOwner->piece(request.piece);
        if (!piece)
            continue;
        this->context.outbox.messagesFor(owner).servedPieces.push_back(*piece);
    }
}

void SlotHolder::onStatePieces(const VmIncarnation &owner, const std::vector<StatePiece> &pieces)
{
    for (const StatePiece &piece : pieces) {
        if (!this->isBackupOf(owner, piece.slot))
            continue;
        Slot &slot = this->context.slotStates[piece.slot];
        const StateAck ack =
                piece.keep ? this->retainCopy(slot, piece) : this->installPiece(slot, piece);
        this->context.outbox.messagesFor(owner).stateAcks.push_back(ack);
    }
}

void SlotHolder::onAppends(const VmIncarnation &owner, const std::vector<AppendEntry> &entries)
{
    std::map<SlotIndex, bool> complete; // by slot: whether no entry was missing
    for (const AppendEntry &entry : entries) {
        if (this->context.faults.ignoreEpochFence && entry.activation < this->context.epoch()) {
            this->acknowledgeWithoutFence(owner, entry);
            continue;
        }
        if (!this->isBackupOf(owner, entry.slot))
            continue;
        Slot &slot = this->context.slotStates[entry.slot];
        if (slot.position.activation != entry.activation)
            continue;
        const bool taken = this->applyEntry(slot, entry);
        const auto [found, added] = complete.try_emplace(entry.slot, taken);
        found->second = found->second && taken;
    }
    for (const auto &[index, whole] : complete) {
        const SlotPosition &position = this->context.slotStates[index].position;
        this->context.outbox.messagesFor(owner).appendAcks.push_back(
                {index, !whole, position.activation, position.sequence});
    }
}

void SlotHolder::onActivated(const VmIncarnation &owner,
                             const std::vector<ActivatedSlot> &activated)
{
    for (const ActivatedSlot &notice : activated) {
        if (notice.slot >= this->context.slotStates.size())
            continue;
        Slot &slot = this->context.slotStates[notice.slot];
        if (slot.placement.owner != owner || this->context.isHolder(slot))
            continue;
        if (notice.activation <= slot.position.activation)
            continue;
        slot.records.clear();
        slot.copyToOwner.reset();
        slot.position = {};
        slot.position.newestActivation = notice.activation;
    }
}

void SlotHolder::queryOldCopyOwners()
{
    for (SlotIndex index = 0; index < this->context.settings.slotCount; ++index) {
        const Slot &slot = this->context.slotStates[index];
        if (slot.position.activation == 0 || !slot.placement.owner || this->context.isHolder(slot))
            continue;
        this->context.outbox.messagesFor(*slot.placement.owner).activatedRequests.push_back(index);
    }
}

bool SlotHolder::hasNoOldCopies() const
{
    return std::all_of(this->context.slotStates.begin(), this->context.slotStates.end(),
                       [this](const Slot &slot) {
                           return slot.position.activation == 0 || this->context.isHolder(slot);
                       });
}

bool SlotHolder::isBackupOf(const VmIncarnation &owner, SlotIndex slot) const
{
    if (slot >= this->context.slotStates.size())
        return false;
    const SlotPlacement &placement = this->context.slotStates[slot].placement;
    return placement.owner == owner && placement.backup == this->context.self;
}

StateAck SlotHolder::installPiece(Slot &slot, const StatePiece &piece)
{
    const std::uint64_t epoch = this->context.epoch();
    if (slot.position.activation == epoch)
        return {piece.slot, 0, true, false, epoch, slot.position.sequence};
    slot.copyFromOwner.add(piece);
    if (!slot.copyFromOwner.isComplete())
        return {piece.slot, slot.copyFromOwner.nextPiece(), false, false, epoch, 0};
    slot.records = slot.copyFromOwner.takeRecords();
    slot.position = piece.position;
    slot.position.activation = epoch;
    slot.position.newestActivation = epoch;
    return {piece.slot, 0, true, false, epoch, slot.position.sequence};
}

StateAck SlotHolder::retainCopy(Slot &slot, const StatePiece &instruction)
{
    const std::uint64_t epoch = this->context.epoch();
    if (slot.position.activation == epoch)
        return {instruction.slot, 0, true, false, epoch, slot.position.sequence};
    const bool same = slot.position.activation == instruction.keptActivation
                      && slot.position.sequence == instruction.position.sequence;
    if (!same)
        return {instruction.slot, 0, false, true, epoch, 0};
    slot.position = instruction.position;
    slot.position.activation = epoch;
    slot.position.newestActivation = epoch;
    return {instruction.slot, 0, true, false, epoch, slot.position.sequence};
}

bool SlotHolder::applyEntry(Slot &slot, const AppendEntry &entry)
{
    const bool held = entry.sequence <= slot.position.sequence;
    if (held && !this->context.faults.applyDuplicates)
        return true;
    const bool gap = entry.sequence > slot.position.sequence + 1;
    if (gap && !this->context.faults.acceptGaps)
        return false;
    slot.records.apply(entry.change);
    slot.position.sequence = std::max(slot.position.sequence, entry.sequence);
    return true;
}

void SlotHolder::acknowledgeWithoutFence(const VmIncarnation &owner, const AppendEntry &entry)
{
    this->context.outbox.messagesFor(owner).appendAcks.push_back(
            {entry.slot, false, entry.activation, entry.sequence});
}

} // namespace lacewingmux
