#include "lacewingmux_experiment/simulation/SimulatedVm.h"

#include <algorithm>
#include <utility>

namespace lacewingmux::experiment {

namespace {

constexpr int maximumAttempts = 3;
constexpr std::chrono::microseconds importPerToken{20};
constexpr std::chrono::milliseconds afterTimeout{1000};

} // namespace

SimulatedVm::SimulatedVm(QString zoneName, const Policy &runPolicy, std::size_t poolCount,
                         std::chrono::milliseconds longestWait, EventQueue &eventQueue,
                         std::uint64_t seed)
    : ownZone(std::move(zoneName))
    , policy(runPolicy)
    , queueTimeout(longestWait)
    , events(eventQueue)
    , random(seed)
{
    for (std::size_t pool = 0; pool < poolCount; ++pool)
        this->pools.push_back(
                {makeQueue(runPolicy), makeChooser(runPolicy), AdmissionControl(), RetryBudget()});
}

void SimulatedVm::addReplica(std::size_t pool, SimulatedReplica &replica, int capacity)
{
    this->replicas.emplace(replica.name(), KnownReplica{&replica, pool, 0});
    this->pools[pool].chooser.setReplica({replica.name(), capacity});
}

void SimulatedVm::setSendingVms(int vms)
{
    for (Pool &pool : this->pools)
        pool.chooser.setSendingVms(vms);
}

void SimulatedVm::replicaRegistered(const SimulatedReplica &replica)
{
    const std::size_t pool = this->replicas.at(replica.name()).pool;
    this->pools[pool].chooser.setState(replica.name(), ReplicaState::Serving);
    this->pump(pool);
}

void SimulatedVm::loadReported(const SimulatedReplica &replica, const LoadReport &report,
                               double pressure)
{
    KnownReplica &known = this->replicas.at(replica.name());
    known.pressure = pressure;
    if (known.cutOff) {
        known.cutOff = false;
        this->pools[known.pool].chooser.setState(replica.name(), ReplicaState::Serving);
    }
    this->pools[known.pool].chooser.reportLoad(replica.name(), report);
    this->pump(known.pool);
}

void SimulatedVm::prefixEvicted(const SimulatedReplica &replica, std::uint64_t sequence,
                                const QString &programName)
{
    this->directory.evicted(replica.name(), sequence, programName);
}

void SimulatedVm::crashTold(const CrashCoincidence &coincidence)
{
    this->quarantine.record(coincidence, this->events.now());
}

void SimulatedVm::connectionsLost()
{
    std::vector<RunningCall> lost;
    for (const auto &[id, entry] : this->running)
        if (!this->reachable(*this->replicas.at(entry.replica).replica))
            lost.push_back(entry);
    std::sort(lost.begin(), lost.end(), [](const RunningCall &left, const RunningCall &right) {
        return left.call->item.id < right.call->item.id;
    });
    for (const RunningCall &entry : lost)
        this->broken(entry.call, entry.replica, QString());
}

void SimulatedVm::submit(VmCall newCall)
{
    const auto call = std::make_shared<VmCall>(std::move(newCall));
    Pool &pool = this->pools[call->pool];
    const QuarantineVerdict verdict =
            this->quarantine.verdict(call->contentDigest, this->events.now());
    if (verdict == QuarantineVerdict::Quarantined) {
        call->ended(CallOutcome::Quarantined, {});
        return;
    }
    if (this->policy.admissionControl) {
        const QString &team = call->item.team;
        const QueueDecision decision = pool.admission.decide(
                {pool.queue.teamSize(team), pool.queue.teamShare(team, call->item.teamWeight),
                 this->queueTimeout});
        if (!decision.admitted) {
            call->ended(CallOutcome::Refused, decision.retryAfter);
            return;
        }
    }
    pool.retries.recordFirstAttempt(this->events.now());
    call->enqueuedAt = this->events.now();
    call->suspect = verdict == QuarantineVerdict::Suspect;
    this->enqueue(call);
    this->pump(call->pool);
}

void SimulatedVm::programPaused(const VmCall &lastCall, std::int64_t prefixTokens)
{
    const std::optional<PrefixLocation> location = this->directory.find(lastCall.programName);
    if (!this->policy.retention || !location)
        return;
    const KnownReplica &known = this->replicas.at(location->replica);
    const QString route = QString::number(lastCall.pool);
    const RetentionAction action =
            this->retention.decide({lastCall.item.team, route, prefixTokens, known.pressure, true});
    if (action == RetentionAction::Keep || !this->reachable(*known.replica))
        return;
    if (action == RetentionAction::Export)
        this->exported[lastCall.program] = prefixTokens;
    known.replica->drop(lastCall.program);
    this->directory.forgetProgram(lastCall.programName);
}

void SimulatedVm::programResumed(const VmCall &nextCall, std::chrono::microseconds pause)
{
    this->retention.resumed(nextCall.item.team, QString::number(nextCall.pool),
                            std::chrono::duration_cast<std::chrono::milliseconds>(pause));
}

void SimulatedVm::programEnded(const VmCall &lastCall)
{
    this->retention.ended(lastCall.item.team, QString::number(lastCall.pool));
    this->directory.forgetProgram(lastCall.programName);
    this->exported.erase(lastCall.program);
    if (this->policy.releaseEnded)
        this->releaseElsewhere(lastCall, QString());
    this->holders.erase(lastCall.program);
}

void SimulatedVm::enqueue(const CallPointer &call)
{
    call->item.id = ++this->lastCallId;
    this->waiting.emplace(call->item.id, call);
    this->pools[call->pool].queue.push(call->item, call->enqueuedAt);
    const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(this->events.now()
                                                                              - call->enqueuedAt);
    this->events.after(std::max(std::chrono::microseconds(0), this->queueTimeout - waited),
                       [this, id = call->item.id] { this->expire(id); });
}

void SimulatedVm::expire(std::uint64_t id)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    const CallPointer call = found->second;
    this->waiting.erase(found);
    this->pools[call->pool].queue.remove(id);
    call->ended(CallOutcome::Refused, afterTimeout);
}

void SimulatedVm::pump(std::size_t poolIndex)
{
    Pool &pool = this->pools[poolIndex];
    while (const WorkItem *item = pool.queue.next()) {
        const CallPointer call = this->waiting.at(item->id);
        const std::optional<ReplicaChoice> choice =
                pool.chooser.choose(this->choiceRequest(*call), this->random);
        if (!choice)
            return;
        pool.queue.take(call->item.id);
        this->waiting.erase(call->item.id);
        pool.admission.started(this->events.now(), pool.queue.size() > 0);
        this->dispatch(call, *choice);
    }
}

ChoiceRequest SimulatedVm::choiceRequest(const VmCall &call) const
{
    ChoiceRequest request;
    request.prefixTokens = call.historyTokens;
    request.prefix = this->directory.find(call.programName);
    request.excluded = call.excluded;
    request.suspect = call.suspect;
    return request;
}

void SimulatedVm::dispatch(const CallPointer &call, const ReplicaChoice &choice)
{
    SimulatedReplica &replica = *this->replicas.at(choice.replica).replica;
    this->pools[call->pool].chooser.started(choice.replica, this->events.now(), call->suspect);
    this->running.emplace(call->item.id, RunningCall{call, choice.replica});
    ++call->attempts;
    if (!replica.isUp() || !this->reachable(replica)) {
        this->events.after(std::chrono::milliseconds(1), [this, call, name = choice.replica] {
            this->broken(call, name, QString());
        });
        return;
    }
    ReplicaCall run;
    run.program = call->program;
    run.historyTokens = call->historyTokens;
    run.newTokens = call->newTokens;
    run.outputTokens = call->outputTokens;
    run.poisoned = call->poisoned;
    if (this->policy.enginePriority)
        run.priority = this->pools[call->pool].queue.enginePriority(call->item.team);
    const QString crash =
            choice.replica + QLatin1Char('#') + QString::number(replica.startNumber());
    const std::uint64_t id = call->item.id;
    run.finished = [this, call, choice, id](std::int64_t cached) {
        if (this->running.contains(id))
            this->finished(call, choice, cached);
    };
    run.broken = [this, call, name = choice.replica, crash, id] {
        if (this->running.contains(id))
            this->broken(call, name, crash);
    };
    std::chrono::microseconds importTime{0};
    if (const auto found = this->exported.find(call->program); found != this->exported.end()) {
        run.importedTokens = found->second;
        importTime = found->second * importPerToken;
        this->exported.erase(found);
    }
    if (importTime.count() == 0) {
        replica.submit(std::move(run));
        return;
    }
    this->events.after(importTime, [&replica, run = std::move(run)] {
        if (replica.isUp())
            replica.submit(run);
        else
            run.broken();
    });
}

void SimulatedVm::finished(const CallPointer &call, const ReplicaChoice &choice,
                           std::int64_t cachedTokens)
{
    Pool &pool = this->pools[call->pool];
    this->running.erase(call->item.id);
    const std::int64_t prompt = call->historyTokens + call->newTokens;
    pool.chooser.finished(choice.replica, this->events.now(), call->suspect);
    pool.queue.settle(call->item, prompt - cachedTokens + call->outputTokens);
    this->directory.observed(choice.replica, choice.expectedCachedTokens, cachedTokens);
    this->directory.served(call->programName, choice.replica, prompt + call->outputTokens);
    this->quarantine.completed(call->contentDigest);
    if (this->policy.releaseEnded)
        this->releaseElsewhere(*call, choice.replica);
    this->holders[call->program].insert(choice.replica);
    call->ended(CallOutcome::Finished, {});
    this->pump(call->pool);
}

void SimulatedVm::broken(const CallPointer &call, const QString &replica, const QString &crash)
{
    Pool &pool = this->pools[call->pool];
    this->running.erase(call->item.id);
    KnownReplica &known = this->replicas.at(replica);
    known.cutOff = known.cutOff || !this->reachable(*known.replica);
    pool.chooser.finished(replica, this->events.now(), call->suspect);
    pool.chooser.setState(replica, ReplicaState::Broken);
    this->directory.forgetReplica(replica);
    if (this->policy.quarantine && !crash.isEmpty()) {
        this->quarantine.record({call->contentDigest, crash}, this->events.now());
        this->crashSeen({call->contentDigest, crash});
    }
    const QuarantineVerdict verdict =
            this->quarantine.verdict(call->contentDigest, this->events.now());
    call->suspect = verdict == QuarantineVerdict::Suspect;
    call->excluded.push_back(replica);
    if (verdict == QuarantineVerdict::Quarantined)
        call->ended(CallOutcome::Quarantined, {});
    else if (call->attempts >= maximumAttempts
             || (this->policy.retryBudget && !pool.retries.tryRetry(this->events.now())))
        call->ended(CallOutcome::Failed, afterTimeout);
    else
        this->enqueue(call);
    this->pump(call->pool);
}

void SimulatedVm::releaseElsewhere(const VmCall &call, const QString &replica)
{
    const auto found = this->holders.find(call.program);
    if (found == this->holders.end())
        return;
    for (const QString &holder : found->second) {
        SimulatedReplica &other = *this->replicas.at(holder).replica;
        if (holder != replica && this->reachable(other))
            other.drop(call.program);
    }
    found->second.clear();
}

} // namespace lacewingmux::experiment
