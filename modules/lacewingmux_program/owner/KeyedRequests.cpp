#include "lacewingmux_program/owner/KeyedRequests.h"

#include "lacewingmux_program/events/EventCodec.h"

#include <algorithm>

namespace lacewingmux {

KeyedRequests::KeyedRequests(OwnerContext &ownerContext)
    : context(ownerContext)
{ }

KeyedRequests::~KeyedRequests()
{
    *this->alive = false;
}

void KeyedRequests::handle(OwnerRequestHandle handle)
{
    PendingRequest *pending = this->context.requests.find(handle);
    const OwnerRequest &request = pending->request;
    const AggregateId id = claimAggregate(this->context.environment.self.zone, request.team,
                                          request.idempotencyKey);
    if (!this->context.slots.isOwned(id.slot()))
        throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                               QStringLiteral("this VM doesn't own the request's key"),
                               Executed::Unknown);
    pending->slot = id.slot();
    const bool known = this->find(id) != nullptr;
    if (!known && !this->context.slots.isComplete(id.slot()))
        throw LacewingmuxError(ErrorKind::StateLost,
                               QStringLiteral("claims were lost; the request may have run before"),
                               Executed::Unknown);
    try {
        this->executeDecision(handle, id, parseStandaloneRequest(this->context, request));
    } catch (const LacewingmuxError &error) {
        const Executed executed = known ? Executed::Unknown : error.executed();
        throw LacewingmuxError(error.kind(), error.message(), executed, error.retryAfter());
    }
}

void KeyedRequests::executeDecision(OwnerRequestHandle handle, const AggregateId &id,
                                    const CallCommand &command)
{
    Entry *entry = this->find(id);
    const CallDecision decision = entry == nullptr
                                          ? RequestClaim().decide(command, this->context.now())
                                          : entry->claim.decide(command, this->context.now());
    if (decision.action == CallAction::Start) {
        this->start(handle, id, command, *decision.started);
    } else if (decision.action == CallAction::Refuse) {
        this->context.refuse(handle, LacewingmuxError(decision.refusal, decision.reason));
    } else if (entry->run) {
        this->context.requests.find(handle)->stage = RequestStage::Running;
        entry->run->waiters.push_back(handle);
    } else {
        this->context.respondWithOutcome(handle, entry->claim.call());
    }
}

void KeyedRequests::start(OwnerRequestHandle handle, const AggregateId &id,
                          const CallCommand &command, const CallStarted &event)
{
    this->context.checkNotDraining();
    PendingRequest *pending = this->context.requests.find(handle);
    pending->stage = RequestStage::Running;
    Entry &entry = this->slots.at(id.slot())[id.name()];
    entry.claim.apply(event);
    entry.dispatch = standaloneDispatchRequest(this->context, pending->request, command);
    entry.dispatch.idempotent = false;
    entry.dispatch.requestId = id.toString();
    entry.run = CallRun();
    entry.run->serial = this->nextSerial++;
    entry.run->waiters.push_back(handle);
    this->context.slots.append(id, encodeEvents({event}), [this, id, serial = entry.run->serial] {
        this->dispatch(id, serial);
    });
}

void KeyedRequests::dispatch(const AggregateId &id, std::uint64_t serial)
{
    Entry *entry = this->findRun(id, serial);
    if (entry == nullptr)
        return;
    if (entry->run->cancelReason) {
        DispatchResult result;
        result.error = *entry->run->cancelReason;
        this->finish(id, serial, result);
        return;
    }
    DispatchListener listener;
    listener.finished = [this, token = this->alive, id, serial](const DispatchResult &result) {
        if (*token)
            this->finish(id, serial, result);
    };
    const DispatchRequest request = std::exchange(entry->dispatch, {});
    entry->run->dispatch = this->context.environment.dispatcher.dispatch(request, listener);
}

void KeyedRequests::finish(const AggregateId &id, std::uint64_t serial,
                           const DispatchResult &result)
{
    Entry *entry = this->findRun(id, serial);
    if (entry == nullptr)
        return;
    entry->run->dispatch.reset();
    const ProgramEvent event = entry->claim.decideOutcome(result, this->context.now());
    const auto committed = [this, id, serial, result] { this->completeRun(id, serial, result); };
    if (std::holds_alternative<CallReleased>(event)) {
        this->context.slots.remove(id, committed);
        return;
    }
    entry->claim.apply(event);
    this->context.slots.append(id, encodeEvents({event}), committed);
}

void KeyedRequests::completeRun(const AggregateId &id, std::uint64_t serial,
                                const DispatchResult &result)
{
    Entry *entry = this->findRun(id, serial);
    if (entry == nullptr)
        return;
    const CallRun run = std::move(*entry->run);
    entry->run.reset();
    if (entry->claim.isRunning()) {
        this->slots.at(id.slot()).erase(id.name());
        for (const OwnerRequestHandle waiter : run.waiters)
            this->context.requests.fail(waiter,
                                        LacewingmuxError(result.error, result.errorMessage,
                                                         result.executed, result.retryAfter));
        return;
    }
    this->schedule(id, entry->claim);
    const RecordedCall call = entry->claim.call();
    for (const OwnerRequestHandle waiter : run.waiters)
        this->context.respondWithOutcome(waiter, call);
}

void KeyedRequests::restore(const AggregateRecord &record)
{
    Entry entry;
    for (const QByteArray &bytes : record.entries) {
        for (const ProgramEvent &event : decodeEvents(bytes))
            entry.claim.apply(event);
    }
    if (const auto lost = entry.claim.decideTakeover(this->context.now())) {
        entry.claim.apply(*lost);
        this->context.slots.append(record.id, encodeEvents({*lost}), {});
    }
    this->schedule(record.id, entry.claim);
    this->slots.at(record.id.slot())[record.id.name()] = std::move(entry);
}

void KeyedRequests::deactivateSlot(SlotIndex slot)
{
    std::vector<DispatchHandle> running;
    for (const auto &[name, entry] : this->slots.at(slot)) {
        if (entry.run && entry.run->dispatch)
            running.push_back(*entry.run->dispatch);
    }
    this->slots[slot].clear();
    std::erase_if(this->expiries,
                  [slot](const auto &expiry) { return expiry.second.slot() == slot; });
    for (const DispatchHandle handle : running)
        this->context.environment.dispatcher.cancel(handle, ErrorKind::OwnerUnavailable);
}

void KeyedRequests::withdrawKey(const QString &keyId)
{
    std::vector<DispatchHandle> running;
    for (Entries &entries : this->slots) {
        for (auto &[name, entry] : entries) {
            if (!entry.run || entry.claim.isEmpty() || entry.claim.call().start.keyId != keyId)
                continue;
            entry.run->cancelReason = ErrorKind::KeyWithdrawn;
            if (entry.run->dispatch)
                running.push_back(*entry.run->dispatch);
        }
    }
    for (const DispatchHandle handle : running)
        this->context.environment.dispatcher.cancel(handle, ErrorKind::KeyWithdrawn);
}

void KeyedRequests::sweep()
{
    const EventTime now = this->context.now();
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const AggregateId id = this->expiries.begin()->second;
        this->expiries.erase(this->expiries.begin());
        this->context.slots.remove(id, [this, id] { this->slots.at(id.slot()).erase(id.name()); });
    }
}

std::size_t KeyedRequests::size() const noexcept
{
    std::size_t count = 0;
    for (const Entries &entries : this->slots)
        count += entries.size();
    return count;
}

std::size_t KeyedRequests::runCount() const noexcept
{
    std::size_t count = 0;
    for (const Entries &entries : this->slots)
        count += static_cast<std::size_t>(
                std::count_if(entries.begin(), entries.end(),
                              [](const auto &entry) { return entry.second.run.has_value(); }));
    return count;
}

KeyedRequests::Entry *KeyedRequests::find(const AggregateId &id)
{
    Entries &entries = this->slots.at(id.slot());
    const auto found = entries.find(id.name());
    return found == entries.end() ? nullptr : &found->second;
}

KeyedRequests::Entry *KeyedRequests::findRun(const AggregateId &id, std::uint64_t serial)
{
    Entry *entry = this->find(id);
    return entry != nullptr && entry->run && entry->run->serial == serial ? entry : nullptr;
}

void KeyedRequests::schedule(const AggregateId &id, const RequestClaim &claim)
{
    if (const auto due = claim.expiry(this->context.environment.settings.claimRetention))
        this->expiries.emplace(*due, id);
}

} // namespace lacewingmux
