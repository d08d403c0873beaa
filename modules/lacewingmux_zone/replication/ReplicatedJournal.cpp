#include "lacewingmux_zone/replication/ReplicatedJournal.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/replication/JournalCodec.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>

namespace lacewingmux {

namespace {

/** The kinds of frame that the journals of two VMs exchange, but for the refusal. */
constexpr FrameKind journalKinds[] = {
        FrameKind::SlotSync,      FrameKind::SlotSyncReply,
        FrameKind::SlotState,     FrameKind::JournalAppend,
        FrameKind::JournalAck,    FrameKind::SlotSurvey,
        FrameKind::SlotStateAck,  FrameKind::SlotSurveyReply,
        FrameKind::SlotActivated, FrameKind::SlotActivatedRequest,
};

bool isOrder(FrameKind kind)
{
    return kind == FrameKind::SlotSync || kind == FrameKind::SlotState
           || kind == FrameKind::JournalAppend || kind == FrameKind::SlotSurvey;
}

} // namespace

ReplicatedJournal::ReplicatedJournal(PeerHub &peerHub, TimerService &timerService,
                                     MetricsRecorder &metricsRecorder, const VmDescriptor &self,
                                     const JournalSettings &journalSettings,
                                     const JournalFaults &journalFaults)
    : context(peerHub, timerService, metricsRecorder, self.incarnation, journalSettings,
              journalFaults)
    , holder(this->context)
    , owner(this->context, {[this](SlotIndex slot) { this->tellActivated(slot); },
                            [this](SlotIndex slot) { this->tellDeactivated(slot); },
                            [this] { this->checkSettled(); }})
{
    this->subscribe();
}

ReplicatedJournal::~ReplicatedJournal()
{
    *this->alive = false;
    for (const FrameKind kind : journalKinds)
        this->context.hub.setHandler(kind, {});
    this->context.hub.setHandler(FrameKind::JournalRefusal, {});
}

void ReplicatedJournal::subscribe()
{
    PeerHub &hub = this->context.hub;
    for (const FrameKind kind : journalKinds) {
        hub.setHandler(kind, [this](const VmIncarnation &sender, const PeerFrame &frame) {
            this->onFrame(sender, frame);
        });
    }
    hub.setHandler(FrameKind::JournalRefusal,
                   [this](const VmIncarnation &, const PeerFrame &frame) {
                       if (frame.epoch > this->epoch())
                           this->needView(frame.epoch);
                   });
    hub.addLinkHandler([this, token = this->alive](const VmIncarnation &peer, bool up) {
        if (*token && up)
            this->owner.onLinkUp(peer);
    });
    this->context.outbox.setFailureHandler(
            [this](const VmIncarnation &peer) { this->failedPeers.insert(peer); });
    this->tickSubscription = this->context.timers.every(this->context.settings.retryInterval,
                                                        [this] { this->tick(); });
}

void ReplicatedJournal::adoptView(std::shared_ptr<const ZoneView> view, const ViewHistory &history)
{
    if (!view || view->epoch() <= this->epoch())
        return;
    LogEvent(LogSeverity::Info, "journalViewAdopted")
            .field("epoch", static_cast<quint64>(view->epoch()))
            .field("members", static_cast<quint64>(view->members().size()));
    this->context.beginView(std::move(view), history);
    this->owner.beginView();

    for (SlotIndex index = 0; index < this->context.settings.slotCount; ++index) {
        this->context.slotStates[index].beginView(this->context.placement(index));
        if (this->context.slotStates[index].placement.owner != this->context.self)
            this->owner.stepDown(index);
    }
    for (SlotIndex index = 0; index < this->context.settings.slotCount; ++index) {
        if (this->context.slotStates[index].placement.owner == this->context.self)
            this->owner.recover(index);
    }
    this->replayHeld();
    this->checkSettled();
}

void ReplicatedJournal::setNewerEpochHandler(EpochHandler handler)
{
    this->newerEpochHandler = std::move(handler);
}

void ReplicatedJournal::setSettledHandler(EpochHandler handler)
{
    this->settledHandler = std::move(handler);
}

bool ReplicatedJournal::isSettled() const
{
    const std::uint64_t current = this->epoch();
    return current > 0
           && std::all_of(this->context.slotStates.begin(), this->context.slotStates.end(),
                          [this, current](const Slot &slot) {
                              return !this->context.isHolder(slot)
                                     || slot.position.activation == current;
                          });
}

bool ReplicatedJournal::isDrained() const
{
    return !this->context.view->contains(this->context.self) && this->holder.isRidOfOldCopies();
}

std::uint64_t ReplicatedJournal::epoch() const
{
    return this->context.epoch();
}

const SlotPosition &ReplicatedJournal::position(SlotIndex slot) const
{
    return this->context.slotStates.at(slot).position;
}

const RecordMap &ReplicatedJournal::records(SlotIndex slot) const
{
    return this->context.slotStates.at(slot).records;
}

SlotStatus ReplicatedJournal::status(SlotIndex slot) const
{
    if (slot >= this->context.slotStates.size())
        return SlotStatus::NotOwner;
    const Slot &state = this->context.slotStates[slot];
    if (state.phase == SlotPhase::NotOwner)
        return SlotStatus::NotOwner;
    if (!state.exposed || state.stalled)
        return SlotStatus::Recovering;
    return state.position.completeSince > 0 ? SlotStatus::ActiveIncomplete : SlotStatus::Active;
}

std::uint64_t ReplicatedJournal::completeSince(SlotIndex slot) const
{
    return this->context.slotStates.at(slot).position.completeSince;
}

void ReplicatedJournal::append(const AggregateId &aggregate, const QByteArray &entry,
                               Callback callback)
{
    this->submit(aggregate.slot(), {ChangeKind::Append, aggregate, entry}, std::move(callback));
}

void ReplicatedJournal::replace(const AggregateId &aggregate, const QByteArray &entry,
                                Callback callback)
{
    this->submit(aggregate.slot(), {ChangeKind::Replace, aggregate, entry}, std::move(callback));
}

void ReplicatedJournal::remove(const AggregateId &aggregate, Callback callback)
{
    this->submit(aggregate.slot(), {ChangeKind::Remove, aggregate, {}}, std::move(callback));
}

void ReplicatedJournal::confirmOwnership(SlotIndex slot, Callback callback)
{
    this->submit(slot, {ChangeKind::Confirm, {}, {}}, std::move(callback));
}

void ReplicatedJournal::submit(SlotIndex slot, const JournalChange &change, Callback callback)
{
    if (slot < this->context.slotStates.size() && this->context.slotStates[slot].exposed) {
        this->owner.append(slot, change, std::move(callback));
        return;
    }
    this->context.timers.post([token = this->alive, refused = std::move(callback)] {
        if (*token && refused)
            refused(AppendOutcome::SteppedDown);
    });
}

void ReplicatedJournal::addActivationHandler(ActivationHandler handler)
{
    this->activationHandlers.push_back(handler);
    if (this->epoch() == 0)
        return;
    this->context.timers.post([this, token = this->alive, added = std::move(handler)] {
        for (SlotIndex slot = 0; *token && slot < this->context.settings.slotCount; ++slot) {
            if (this->context.slotStates[slot].exposed)
                added(slot, this->context.slotStates[slot].records.toRecords());
        }
    });
}

void ReplicatedJournal::addDeactivationHandler(DeactivationHandler handler)
{
    this->deactivationHandlers.push_back(std::move(handler));
}

void ReplicatedJournal::tellActivated(SlotIndex slot)
{
    const std::vector<AggregateRecord> held = this->context.slotStates[slot].records.toRecords();
    for (const ActivationHandler &handler : this->activationHandlers)
        handler(slot, held);
}

void ReplicatedJournal::tellDeactivated(SlotIndex slot)
{
    for (const DeactivationHandler &handler : this->deactivationHandlers)
        handler(slot);
}

void ReplicatedJournal::checkSettled()
{
    if (this->settledCheckScheduled || this->settledEpoch == this->epoch())
        return;
    this->settledCheckScheduled = true;
    this->context.timers.post([this, token = this->alive] {
        if (!*token)
            return;
        this->settledCheckScheduled = false;
        if (this->settledEpoch == this->epoch() || !this->isSettled())
            return;
        this->settledEpoch = this->epoch();
        if (this->settledHandler)
            this->settledHandler(this->settledEpoch);
    });
}

void ReplicatedJournal::onFrame(const VmIncarnation &sender, const PeerFrame &frame)
{
    const bool unfencedAck =
            this->context.faults.ignoreEpochFence && frame.kind == FrameKind::JournalAck;
    const bool unfencedAppend =
            this->context.faults.ignoreEpochFence && frame.kind == FrameKind::JournalAppend;
    if (frame.epoch > this->epoch() && !unfencedAck)
        this->hold(sender, frame);
    else if (frame.epoch < this->epoch() && !unfencedAppend)
        this->refuse(sender, frame);
    else
        this->dispatch(sender, frame);
}

void ReplicatedJournal::refuse(const VmIncarnation &sender, const PeerFrame &frame)
{
    if (isOrder(frame.kind))
        this->context.outbox.sendBare(sender, FrameKind::JournalRefusal);
}

void ReplicatedJournal::hold(const VmIncarnation &sender, const PeerFrame &frame)
{
    if (this->heldFrames.size() < this->context.settings.heldFrames)
        this->heldFrames.emplace_back(sender, frame);
    this->needView(frame.epoch);
}

void ReplicatedJournal::needView(std::uint64_t neededView)
{
    if (neededView <= this->neededEpoch)
        return;
    this->neededEpoch = neededView;
    if (this->newerEpochHandler)
        this->newerEpochHandler(neededView);
}

void ReplicatedJournal::replayHeld()
{
    for (const auto &[sender, frame] : std::exchange(this->heldFrames, {}))
        this->onFrame(sender, frame);
}

void ReplicatedJournal::dispatch(const VmIncarnation &sender, const PeerFrame &frame)
{
    try {
        switch (frame.kind) {
        case FrameKind::SlotSurvey:
            return this->holder.onSurvey(sender, JournalCodec::decodeSurvey(frame.payload));
        case FrameKind::SlotSurveyReply:
            return this->owner.onAnswers(sender, JournalCodec::decodeAnswers(frame.payload));
        case FrameKind::SlotSync:
            return this->holder.onStateRequests(sender,
                                                JournalCodec::decodeRequests(frame.payload));
        case FrameKind::SlotSyncReply:
            return this->owner.onServedPieces(sender, JournalCodec::decodePieces(frame.payload));
        case FrameKind::SlotState:
            this->holder.onStatePieces(sender, JournalCodec::decodePieces(frame.payload));
            return this->checkSettled();
        case FrameKind::SlotStateAck:
            return this->owner.onStateAcks(sender, JournalCodec::decodeStateAcks(frame.payload));
        case FrameKind::JournalAppend:
            return this->holder.onAppends(sender, JournalCodec::decodeAppends(frame.payload));
        case FrameKind::JournalAck:
            return this->owner.onAppendAcks(sender, JournalCodec::decodeAppendAcks(frame.payload));
        case FrameKind::SlotActivated:
            return this->holder.onActivated(sender, JournalCodec::decodeActivated(frame.payload));
        case FrameKind::SlotActivatedRequest:
            return this->owner.onActivatedRequests(
                    sender, JournalCodec::decodeActivatedRequest(frame.payload));
        default:
            return;
        }
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Warning, "journalFrameRejected")
                .field("peer", sender.toString())
                .field("reason", error.message());
    }
}

void ReplicatedJournal::tick()
{
    this->neededEpoch = 0;
    for (const VmIncarnation &peer : std::exchange(this->failedPeers, {})) {
        if (this->context.hub.isConnected(peer))
            this->owner.onLinkUp(peer);
    }
    this->owner.tick();
    this->holder.askAboutOldCopies();
}

} // namespace lacewingmux
