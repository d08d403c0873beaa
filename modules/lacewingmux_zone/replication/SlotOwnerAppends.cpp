#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_zone/replication/JournalContext.h"
#include "lacewingmux_zone/replication/SlotOwner.h"

#include <chrono>
#include <optional>
#include <utility>

// Appends, commits and timer handling of SlotOwner.

namespace lacewingmux {

void SlotOwner::append(SlotIndex index, const JournalChange &change, Journal::Callback callback)
{
    Slot &slot = this->context.slotStates[index];
    slot.records.apply(change);
    const std::uint64_t sequence = ++slot.position.sequence;
    slot.window.push({sequence, change, std::move(callback), this->context.timers.now()});
    if (slot.phase != SlotPhase::Active)
        return; // sent once the slot is active in the view just adopted
    this->sendUnsent(index);
    if (!slot.placement.backup || this->context.faults.commitWithoutAck)
        this->scheduleCommitWithoutBackup(index);
}

void SlotOwner::sendUnsent(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    if (slot.phase != SlotPhase::Active)
        return;
    if (!slot.placement.backup) {
        if (!slot.window.isEmpty())
            this->scheduleCommitWithoutBackup(index);
        return;
    }
    std::vector<AppendEntry> &appends =
            this->context.outbox.messagesFor(*slot.placement.backup).appends;
    for (const AppendWindow::Pending *pending : slot.window.takeUnsent())
        appends.push_back({index, slot.position.activation, pending->sequence, pending->change});
}

void SlotOwner::onAppendAcks(const VmIncarnation &backup, const std::vector<AppendAck> &acks)
{
    for (const AppendAck &ack : acks) {
        if (ack.slot >= this->context.slotStates.size())
            continue;
        Slot &slot = this->context.slotStates[ack.slot];
        if (slot.phase != SlotPhase::Active || slot.placement.backup != backup
            || ack.activation != slot.position.activation)
            continue;
        this->commitThrough(ack.slot, ack.sequence);
        if (ack.resend) {
            slot.window.resendAfter(ack.sequence);
            this->sendUnsent(ack.slot);
        }
    }
}

void SlotOwner::onLinkUp(const VmIncarnation &peer)
{
    for (SlotIndex index = 0; index < this->context.settings.slotCount; ++index) {
        Slot &slot = this->context.slotStates[index];
        if (!this->involves(slot, peer))
            continue;
        if (slot.phase != SlotPhase::Active) {
            this->resend(index);
            continue;
        }
        slot.window.resendAfter(0);
        this->sendUnsent(index);
    }
}

void SlotOwner::tick()
{
    const auto now = this->context.timers.now();
    unsigned lost = 0;
    for (SlotIndex index = 0; index < this->context.settings.slotCount; ++index) {
        Slot &slot = this->context.slotStates[index];
        if (slot.phase == SlotPhase::NotOwner)
            continue;
        this->markStalled(slot);
        if (slot.phase == SlotPhase::Surveying && !slot.finding && this->isLost(slot)) {
            this->declareLost(index);
            ++lost;
        } else if (now - slot.lastSentAt >= this->context.settings.retryInterval) {
            this->resend(index);
        }
    }
    if (lost > 0)
        this->reportLost(lost);
}

void SlotOwner::reportLost(unsigned slots)
{
    LogEvent(LogSeverity::Error, "slotStateLost")
            .field("slots", slots)
            .field("epoch", static_cast<quint64>(this->context.epoch()));
    this->context.metrics.count("lacewingmux_slots_lost_total", {}, slots);
}

void SlotOwner::markStalled(Slot &slot) const
{
    const auto now = this->context.timers.now();
    const auto limit = this->context.settings.stallTimeout;
    const std::optional<TimerService::SteadyTime> oldest = slot.window.oldest();
    const bool late = oldest && now - *oldest >= limit;
    const bool recovering =
            slot.phase != SlotPhase::Active && now - this->context.adoptedAt >= limit;
    slot.stalled = late || recovering;
}

void SlotOwner::commitThrough(SlotIndex index, std::uint64_t sequence)
{
    Slot &slot = this->context.slotStates[index];
    const std::vector<AppendWindow::Pending> committed = slot.window.takeThrough(sequence);
    if (committed.empty())
        return;
    slot.stalled = false;
    const auto waited = this->context.timers.now() - committed.front().appendedAt;
    this->context.metrics.observe("lacewingmux_journal_commit_seconds", {},
                                  std::chrono::duration_cast<std::chrono::microseconds>(waited));
    this->invokeCallbacks(committed, AppendOutcome::Committed);
}

void SlotOwner::scheduleCommitWithoutBackup(SlotIndex index)
{
    const bool first = this->pendingWithoutBackup.empty();
    this->pendingWithoutBackup.push_back(index);
    if (!first)
        return;
    this->context.timers.post([this, token = this->alive] {
        if (*token)
            this->commitWithoutBackup();
    });
}

void SlotOwner::commitWithoutBackup()
{
    for (const SlotIndex index : std::exchange(this->pendingWithoutBackup, {})) {
        const Slot &slot = this->context.slotStates[index];
        const bool withoutBackup = !slot.placement.backup || this->context.faults.commitWithoutAck;
        if (slot.phase == SlotPhase::Active && withoutBackup)
            this->commitThrough(index, slot.position.sequence);
    }
}

void SlotOwner::invokeCallbacks(const std::vector<AppendWindow::Pending> &entries,
                                AppendOutcome outcome)
{
    for (const AppendWindow::Pending &entry : entries) {
        if (entry.callback)
            entry.callback(outcome);
    }
}

} // namespace lacewingmux
