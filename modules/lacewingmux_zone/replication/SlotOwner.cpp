#include "lacewingmux_zone/replication/SlotOwner.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/replication/JournalContext.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingmux {

SlotOwner::SlotOwner(JournalContext &journalContext, Hooks ownerHooks)
    : context(journalContext)
    , hooks(std::move(ownerHooks))
{ }

SlotOwner::~SlotOwner()
{
    *this->alive = false;
}

void SlotOwner::beginView()
{
    this->transferQueue.clear();
    this->activeTransfers = 0;
}

void SlotOwner::recover(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    slot.phase = SlotPhase::Surveying;
    slot.survey = std::make_unique<SlotSurvey>(index, this->context.epoch(), this->context.history);
    slot.survey->addAnswer(this->context.self, slot.position);
    slot.finding = slot.survey->find();
    if (this->context.faults.skipSurvey)
        slot.finding = SlotSurvey::Finding{this->context.self, slot.position};
    if (slot.reportedActive && !slot.finding)
        this->stepDown(index);
    this->sendSurveys(index);
    this->advance(index);
}

void SlotOwner::stepDown(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    if (!slot.reportedActive)
        return;
    slot.reportedActive = false;
    const AppendOutcome outcome = this->context.faults.commitOnStepDown
                                          ? AppendOutcome::Committed
                                          : AppendOutcome::SteppedDown;
    const std::vector<AppendWindow::Pending> pending = slot.window.takeAll();
    this->hooks.deactivated(index);
    this->invokeCallbacks(pending, outcome);
}

void SlotOwner::onAnswers(const VmIncarnation &vm, const std::vector<SurveyAnswer> &answers)
{
    for (const SurveyAnswer &answer : answers) {
        if (answer.slot >= this->context.slotStates.size())
            continue;
        Slot &slot = this->context.slotStates[answer.slot];
        if (slot.phase == SlotPhase::NotOwner || !slot.survey)
            continue;
        slot.survey->addAnswer(vm, answer.position);
        if (!slot.finding)
            slot.finding = slot.survey->find();
        this->advance(answer.slot);
    }
}

void SlotOwner::onServedPieces(const VmIncarnation &holder, const std::vector<StatePiece> &pieces)
{
    for (const StatePiece &piece : pieces) {
        if (piece.slot >= this->context.slotStates.size())
            continue;
        Slot &slot = this->context.slotStates[piece.slot];
        const bool expected = slot.phase == SlotPhase::Pulling && slot.finding->holder == holder
                              && piece.position.activation == slot.finding->position.activation;
        if (!expected || !slot.copyFromHolder.add(piece))
            continue;
        if (!slot.copyFromHolder.isComplete()) {
            this->resend(piece.slot);
            continue;
        }
        slot.records = slot.copyFromHolder.takeRecords();
        slot.position = piece.position;
        slot.finding->holder = this->context.self;
        slot.phase = SlotPhase::Surveying;
        --this->activeTransfers;
        this->advance(piece.slot);
        this->startQueuedTransfers();
    }
}

void SlotOwner::onStateAcks(const VmIncarnation &backup, const std::vector<StateAck> &acks)
{
    for (const StateAck &ack : acks) {
        if (ack.slot >= this->context.slotStates.size())
            continue;
        Slot &slot = this->context.slotStates[ack.slot];
        if (slot.phase != SlotPhase::Activating || slot.placement.backup != backup
            || ack.activation != this->context.epoch())
            continue;
        if (ack.installed) {
            --this->activeTransfers;
            this->activate(ack.slot, ack.sequence);
            this->startQueuedTransfers();
        } else if (ack.refused && slot.retainInstruction) {
            this->pushFullCopy(ack.slot);
        } else if (slot.copyToBackup && ack.nextPiece == slot.copyToBackup->current().piece + 1
                   && slot.copyToBackup->piece(ack.nextPiece)) {
            this->resend(ack.slot);
        }
    }
}

void SlotOwner::onActivatedRequests(const VmIncarnation &holder,
                                    const std::vector<SlotIndex> &slots)
{
    for (const SlotIndex index : slots) {
        if (index >= this->context.slotStates.size())
            continue;
        const Slot &slot = this->context.slotStates[index];
        if (slot.phase == SlotPhase::Active)
            this->context.outbox.messagesFor(holder).activated.push_back(
                    {index, slot.position.activation});
    }
}

void SlotOwner::advance(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    if (slot.phase != SlotPhase::Surveying || !slot.finding)
        return;
    const std::optional<VmIncarnation> &backup = slot.placement.backup;
    const bool local = this->hasLocalCopy(slot);
    if (local && backup && !slot.survey->hasAnswered(*backup))
        return;
    if (local && !backup) {
        this->activate(index, slot.position.sequence);
        return;
    }
    slot.phase = SlotPhase::Queued;
    this->transferQueue.push_back(index);
    this->startQueuedTransfers();
}

void SlotOwner::startQueuedTransfers()
{
    while (!this->transferQueue.empty()
           && this->activeTransfers < this->context.settings.concurrentTransfers) {
        const SlotIndex index = this->transferQueue.front();
        this->transferQueue.pop_front();
        ++this->activeTransfers;
        if (this->hasLocalCopy(this->context.slotStates[index]))
            this->push(index);
        else
            this->pull(index);
    }
}

bool SlotOwner::hasLocalCopy(const Slot &slot) const
{
    if (slot.lost || !slot.finding->holder || slot.finding->holder == this->context.self)
        return true;
    return slot.position.activation == slot.finding->position.activation
           && slot.position.sequence >= slot.finding->position.sequence;
}

std::vector<VmIncarnation> SlotOwner::surveyTargets(const Slot &slot) const
{
    if (slot.finding) {
        if (slot.placement.backup)
            return {*slot.placement.backup};
        return {};
    }
    std::set<VmIncarnation> targets;
    for (const VmDescriptor &member : this->context.view->members())
        targets.insert(member.incarnation);
    for (const VmIncarnation &holder : slot.survey->unansweredHolders())
        targets.insert(holder);
    return {targets.begin(), targets.end()};
}

void SlotOwner::sendSurveys(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    slot.lastSentAt = this->context.timers.now();
    for (const VmIncarnation &vm : this->surveyTargets(slot)) {
        if (!slot.survey->hasAnswered(vm))
            this->context.outbox.messagesFor(vm).surveys.push_back(index);
    }
}

bool SlotOwner::isLost(const Slot &slot) const
{
    bool departed = false;
    bool connected = false;
    for (const VmIncarnation &vm : slot.survey->unansweredHolders()) {
        if (this->context.view->contains(vm))
            return false;
        if (this->context.isReplaced(vm))
            continue;
        departed = true;
        connected = connected || this->context.hub.isConnected(vm);
    }
    if (!departed)
        return true;
    const JournalSettings &settings = this->context.settings;
    const auto timeout = connected ? settings.departedConnectedTimeout : settings.departedTimeout;
    return this->context.timers.now() - this->context.adoptedAt >= timeout;
}

void SlotOwner::declareLost(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    slot.lost = true;
    slot.finding = SlotSurvey::Finding{};
    this->sendSurveys(index);
    this->advance(index);
}

void SlotOwner::pull(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    slot.phase = SlotPhase::Pulling;
    slot.copyFromHolder = {};
    this->resend(index);
}

void SlotOwner::push(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    const SlotPosition held = slot.survey->answer(*slot.placement.backup).value();
    const bool canRetain = !slot.lost && held.activation > 0
                           && held.activation == slot.position.activation
                           && slot.window.covers(held.sequence, slot.position.sequence);
    if (!canRetain) {
        this->pushFullCopy(index);
        return;
    }
    slot.phase = SlotPhase::Activating;
    slot.retainInstruction = StatePiece{index, 0, true, true, held.activation, slot.position, {}};
    slot.retainInstruction->position.sequence = held.sequence;
    this->resend(index);
}

void SlotOwner::pushFullCopy(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    slot.phase = SlotPhase::Activating;
    slot.retainInstruction.reset();
    SlotPosition position = slot.position;
    if (slot.lost) {
        position = {};
        position.completeSince = this->context.faults.hideLoss ? 0 : this->context.epoch();
    }
    slot.copyToBackup =
            std::make_unique<SlotTransfer>(index, position, slot.lost ? RecordMap() : slot.records,
                                           this->context.settings.frameBytes);
    static_cast<void>(slot.copyToBackup->piece(0));
    this->resend(index);
}

void SlotOwner::resend(SlotIndex index)
{
    Slot &slot = this->context.slotStates[index];
    slot.lastSentAt = this->context.timers.now();
    switch (slot.phase) {
    case SlotPhase::Surveying:
        this->sendSurveys(index);
        break;
    case SlotPhase::Pulling:
        this->context.outbox.messagesFor(*slot.finding->holder)
                .requests.push_back({index, slot.copyFromHolder.nextPiece(),
                                     slot.finding->position.activation});
        break;
    case SlotPhase::Activating:
        this->context.outbox.messagesFor(*slot.placement.backup)
                .pushedPieces.push_back(slot.retainInstruction ? *slot.retainInstruction
                                                               : slot.copyToBackup->current());
        break;
    case SlotPhase::NotOwner:
    case SlotPhase::Queued:
    case SlotPhase::Active:
        break;
    }
}

void SlotOwner::activate(SlotIndex index, std::uint64_t backupSequence)
{
    Slot &slot = this->context.slotStates[index];
    if (slot.lost) {
        slot.records.clear();
        slot.position = {};
        slot.position.completeSince = this->context.faults.hideLoss ? 0 : this->context.epoch();
    }
    slot.position.activation = this->context.epoch();
    slot.position.newestActivation = this->context.epoch();
    slot.phase = SlotPhase::Active;
    slot.stalled = false;
    slot.survey.reset();
    slot.copyToBackup.reset();
    slot.retainInstruction.reset();
    slot.window.resendAfter(backupSequence);
    this->announceActivation(index);
    if (!slot.reportedActive) {
        slot.reportedActive = true;
        this->hooks.activated(index);
    }
    this->commitThrough(index, backupSequence);
    this->sendUnsent(index);
    this->hooks.progressed();
}

void SlotOwner::announceActivation(SlotIndex index)
{
    const Slot &slot = this->context.slotStates[index];
    for (const VmIncarnation &peer : this->context.knownPeers) {
        if (slot.placement.backup != peer && this->context.hub.isConnected(peer))
            this->context.outbox.messagesFor(peer).activated.push_back(
                    {index, this->context.epoch()});
    }
}

bool SlotOwner::involves(const Slot &slot, const VmIncarnation &peer) const
{
    switch (slot.phase) {
    case SlotPhase::Surveying:
        return true;
    case SlotPhase::Pulling:
        return slot.finding->holder == peer;
    case SlotPhase::Activating:
    case SlotPhase::Active:
        return slot.placement.backup == peer;
    case SlotPhase::NotOwner:
    case SlotPhase::Queued:
        return false;
    }
    return false;
}

} // namespace lacewingmux
