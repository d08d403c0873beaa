#include "lacewingmux_backend/dispatch/ReplicaDispatcher.h"

#include "lacewingmux_allowance/admission/PowerBudget.h"
#include "lacewingmux_backend/dispatch/DispatchResults.h"
#include "lacewingmux_core/time/TimerService.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds powerRetryInterval{100};
// Usually the owner journals and dispatches a call within a few milliseconds. Far below the time in
// which a paused owner is replaced.
constexpr std::chrono::milliseconds ownershipConfirmationTime{200};

} // namespace

ReplicaDispatcher::ReplicaDispatcher(const ReplicaDispatcherEnvironment &dispatcherEnvironment,
                                     const ReplicaDispatcherSettings &dispatcherSettings)
    : environment(dispatcherEnvironment)
    , settings(dispatcherSettings)
    , timers(dispatcherEnvironment.timers)
    , random(dispatcherSettings.seed)
    , connections(dispatcherEnvironment.timers)
    , engineClient(this->connections, this->timers)
    , serviceClient(this->connections, this->timers)
    , monitor(this->connections, this->timers, this->random,
              {[this](const QString &replica) { this->updateReplicaState(replica); },
               [this](const QString &replica) {
                   this->prefixes.forgetReplica(replica);
                   this->programCaches.replicaRestarted(replica);
               }})
    , programCaches(this->connections, this->timers, this->random, dispatcherEnvironment.self,
                    [this](const QString &program) { this->confirmRelease(program); })
{ }

ReplicaDispatcher::~ReplicaDispatcher() = default;

DispatchHandle ReplicaDispatcher::dispatch(const DispatchRequest &request,
                                           DispatchListener listener)
{
    const DispatchHandle handle = ++this->lastHandle;
    auto call = std::make_unique<DispatchedCall>();
    call->handle = handle;
    call->request = request;
    call->listener = std::move(listener);
    call->receivedAt = this->timers.now();
    call->item = {handle,
                  request.team,
                  request.teamWeight,
                  request.rootProgram,
                  request.attainedTokens,
                  std::max<std::int64_t>(1, request.maxOutputTokens)};
    this->calls.emplace(handle, std::move(call));
    if (!request.program.isEmpty())
        ++this->activePrograms[request.program].calls;
    this->timers.post([this, handle, alive = std::weak_ptr<char>(this->lifetimeToken)] {
        if (!alive.expired())
            this->admit(handle);
    });
    return handle;
}

void ReplicaDispatcher::cancel(DispatchHandle handle, ErrorKind reason)
{
    DispatchedCall *call = this->find(handle);
    if (!call)
        return;
    const bool sent =
            call->state == DispatchState::Running || call->state == DispatchState::CheckingReplica;
    if (sent && !call->request.idempotent)
        return;
    if (call->state == DispatchState::Queued) {
        this->pools.at(call->request.route).queue.remove(handle);
    } else if (call->state == DispatchState::Running) {
        call->run.reset();
        if (call->replica.kind == RouteKind::ModelEngine)
            this->engineClient.cancel(call->replica.url, call->request.requestId);
        this->releaseReplica(*call);
    } else if (call->state == DispatchState::Starting) {
        this->releaseReplica(*call);
    }
    const bool mayHaveRun = sent || call->mayHaveRun;
    this->finish(handle, failedResult(reason, mayHaveRun ? Executed::Unknown : Executed::No,
                                      QStringLiteral("the call was cancelled")));
}

void ReplicaDispatcher::programEnded(const QString &program)
{
    this->prefixes.forgetProgram(program);
    const auto activeProgram = this->activePrograms.find(program);
    if (activeProgram == this->activePrograms.end())
        this->programCaches.ended(program);
    else
        activeProgram->second.ended = true;
}

void ReplicaDispatcher::programPaused(const QString &program, std::int64_t prefixTokens)
{
    const auto prefix = this->prefixes.find(program);
    // A prefix that is to be dropped must not attract further calls to its replica.
    if (prefix && !this->programCaches.handlePause(program, prefix->replica, prefixTokens))
        this->prefixes.forgetProgram(program);
}

void ReplicaDispatcher::adoptReplicas(const std::shared_ptr<const ReplicaSet> &replicaSet)
{
    this->replicas = replicaSet;
    this->monitor.adopt(*replicaSet);
    this->programCaches.adoptReplicas(replicaSet);
    for (auto &[route, pool] : this->pools) {
        const std::set<QString> known = std::exchange(pool.replicas, {});
        for (const QString &name : known) {
            const ReplicaSnapshot *replica = replicaSet->find(name);
            if (!replica || replica->record.route != route)
                pool.chooser.removeReplica(name);
        }
    }
    for (const ReplicaSnapshot &replica : replicaSet->replicas()) {
        RoutePool &pool = this->pools[replica.record.route];
        pool.replicas.insert(replica.record.name);
        pool.chooser.setSendingVms(this->sendingVms);
        pool.chooser.setReplica({replica.record.name, replica.record.maxSequences});
        if (replica.load)
            pool.chooser.reportLoad(replica.record.name,
                                    {replica.load->load.sequences(), replica.load->measuredAt});
        this->updateReplicaState(replica.record.name);
    }
    for (const auto &entry : this->pools)
        this->scheduleQueueProcessing(entry.first);
}

void ReplicaDispatcher::setSendingVms(int vms)
{
    this->sendingVms = vms;
    for (auto &[route, pool] : this->pools)
        pool.chooser.setSendingVms(vms);
}

void ReplicaDispatcher::addRemoteCoincidence(const CrashCoincidence &coincidence)
{
    this->quarantine.record(coincidence, this->timers.now());
}

std::vector<CrashCoincidence> ReplicaDispatcher::crashCoincidences() const
{
    return this->quarantine.coincidences(this->timers.now());
}

void ReplicaDispatcher::admit(DispatchHandle handle)
{
    DispatchedCall *call = this->find(handle);
    if (!call)
        return;
    const auto found = this->pools.find(call->request.route);
    if (found == this->pools.end() || !this->hasUsableReplica(found->second)) {
        this->finish(handle,
                     failedResult(ErrorKind::BackendUnavailable, Executed::No,
                                  QStringLiteral("no backend server of the route can be reached")));
        return;
    }
    if (this->quarantineVerdict(*call) == QuarantineVerdict::Quarantined) {
        this->finish(handle, this->quarantinedResult(*call, Executed::No));
        return;
    }
    RoutePool &pool = found->second;
    const QString &team = call->request.team;
    const QueueDecision decision = pool.admission.decide(
            {pool.queue.teamSize(team), pool.queue.teamShare(team, call->request.teamWeight),
             call->request.queueTimeout});
    if (!decision.admitted) {
        this->finish(handle, failedResult(ErrorKind::Overloaded, Executed::No,
                                          QStringLiteral("the queue is longer than its timeout"),
                                          decision.retryAfter));
        return;
    }
    pool.retryBudget.recordFirstAttempt(this->timers.now());
    this->programCaches.called(call->request.program, team, call->request.route);
    this->enqueue(*call);
}

void ReplicaDispatcher::enqueue(DispatchedCall &call)
{
    const DispatchHandle handle = call.handle;
    call.state = DispatchState::Queued;
    call.queueDeadline = this->timers.now() + call.request.queueTimeout;
    call.queueTimer = this->timers.after(call.request.queueTimeout, [this, handle] {
        DispatchedCall *waitingCall = this->find(handle);
        if (waitingCall && waitingCall->state == DispatchState::Queued)
            this->queueTimedOut(*waitingCall);
    });
    this->pools.at(call.request.route).queue.push(call.item, call.receivedAt);
    this->scheduleQueueProcessing(call.request.route);
}

void ReplicaDispatcher::queueTimedOut(DispatchedCall &call)
{
    this->pools.at(call.request.route).queue.remove(call.handle);
    const ErrorKind kind =
            call.waitedForPower ? ErrorKind::PowerCapReached : ErrorKind::QueueTimeout;
    const Executed executed = call.mayHaveRun ? Executed::Unknown : Executed::No;
    this->finish(call.handle, failedResult(kind, executed, QStringLiteral("no replica had room")));
}

void ReplicaDispatcher::scheduleQueueProcessing(const QString &route)
{
    RoutePool &pool = this->pools.at(route);
    if (std::exchange(pool.processingScheduled, true))
        return;
    this->timers.post([this, route, alive = std::weak_ptr<char>(this->lifetimeToken)] {
        if (!alive.expired())
            this->processQueue(route);
    });
}

void ReplicaDispatcher::processQueue(const QString &route)
{
    RoutePool &pool = this->pools.at(route);
    pool.processingScheduled = false;
    std::vector<DispatchHandle> deferred;
    while (!pool.waitsForPower && this->startNext(pool, deferred)) { }
    for (const DispatchHandle handle : deferred) {
        if (const DispatchedCall *call = this->find(handle))
            pool.queue.push(call->item, call->receivedAt);
    }
}

bool ReplicaDispatcher::startNext(RoutePool &pool, std::vector<DispatchHandle> &deferred)
{
    const WorkItem *next = pool.queue.next();
    if (!next)
        return false;
    DispatchedCall &call = *this->calls.at(next->id);
    const QuarantineVerdict verdict = this->quarantineVerdict(call);
    if (verdict == QuarantineVerdict::Quarantined) {
        pool.queue.remove(call.handle);
        const Executed executed = call.mayHaveRun ? Executed::Unknown : Executed::No;
        this->finish(call.handle, this->quarantinedResult(call, executed));
        return true;
    }
    if (!this->hasUsableReplica(pool)) {
        pool.queue.remove(call.handle);
        const Executed executed = call.mayHaveRun ? Executed::Unknown : Executed::No;
        this->finish(call.handle,
                     failedResult(ErrorKind::BackendUnavailable, executed,
                                  QStringLiteral("no backend server of the route can be reached")));
        return true;
    }
    call.suspect = verdict == QuarantineVerdict::Suspect;
    if (const auto choice = this->choose(pool, call)) {
        this->startCall(pool, call, *choice);
        return true;
    }
    if (!call.suspect && call.excluded.empty())
        return false;
    // The call may use fewer replicas than others, so it must not block the queue behind it.
    pool.queue.remove(call.handle);
    deferred.push_back(call.handle);
    return true;
}

std::optional<ReplicaChoice> ReplicaDispatcher::choose(const RoutePool &pool,
                                                       const DispatchedCall &call)
{
    ChoiceRequest request;
    request.prefixTokens = call.request.prefixTokens;
    request.prefix = this->prefixes.find(call.request.program);
    request.suspect = call.suspect;
    request.excluded = call.excluded;
    // When every serving replica is excluded, a failed one is tried again.
    const bool hasServingReplicaLeft = pool.chooser.servingCount() > call.excluded.size();
    if (!hasServingReplicaLeft)
        request.excluded.clear();
    return pool.chooser.choose(request, this->random);
}

bool ReplicaDispatcher::hasUsableReplica(const RoutePool &pool) const
{
    return std::any_of(pool.replicas.begin(), pool.replicas.end(), [this](const QString &name) {
        const ReplicaSnapshot *replica = this->replicas->find(name);
        return replica && !replica->leaving && !this->monitor.isConsideredDown(name);
    });
}

void ReplicaDispatcher::startCall(RoutePool &pool, DispatchedCall &call,
                                  const ReplicaChoice &choice)
{
    const DispatchHandle handle = call.handle;
    const TimerService::SteadyTime now = this->timers.now();
    pool.queue.take(handle);
    pool.admission.started(now, pool.queue.size() > 0);
    pool.chooser.started(choice.replica, now, call.suspect);
    call.state = DispatchState::Starting;
    call.replica = this->replicas->find(choice.replica)->record;
    call.expectedCachedTokens = choice.expectedCachedTokens;
    if (!this->environment.power || call.replica.wattsPerSequence <= 0) {
        this->powerDecided(handle, PowerReservation());
        return;
    }
    this->environment.power->reserve(
            call.replica.wattsPerSequence,
            [this, handle, alive = std::weak_ptr<char>(this->lifetimeToken)](
                    std::optional<PowerReservation> reservation) {
                if (!alive.expired())
                    this->powerDecided(handle, std::move(reservation));
            });
}

void ReplicaDispatcher::powerDecided(DispatchHandle handle,
                                     std::optional<PowerReservation> reservation)
{
    DispatchedCall *call = this->find(handle);
    if (!call || call->state != DispatchState::Starting)
        return;
    call->waitedForPower = !reservation.has_value();
    if (!reservation) {
        const QString route = call->request.route;
        this->requeue(*call);
        this->waitForPower(route);
        if (this->timers.now() >= call->queueDeadline)
            this->queueTimedOut(*call);
        return;
    }
    call->powerReservation = std::move(*reservation);
    if (call->replica.kind == RouteKind::ModelEngine)
        this->programCaches.importPrefix(call->request.program, call->replica,
                                         [this, handle] { this->send(handle); });
    else
        this->send(handle);
}

void ReplicaDispatcher::waitForPower(const QString &route)
{
    RoutePool &pool = this->pools.at(route);
    pool.waitsForPower = true;
    pool.powerRetry = this->timers.after(powerRetryInterval, [this, route] {
        this->pools.at(route).waitsForPower = false;
        this->scheduleQueueProcessing(route);
    });
}

bool ReplicaDispatcher::confirmOwnership(DispatchedCall &call)
{
    const bool isRecent = this->timers.now() - call.request.decidedAt < ownershipConfirmationTime;
    const bool isConfirmed =
            call.confirmedAttempts > call.attempts || (call.attempts == 0 && isRecent);
    if (isConfirmed || !call.listener.confirmOwnership)
        return true;
    call.listener.confirmOwnership([this, handle = call.handle, askedAt = this->timers.now(),
                                    alive = std::weak_ptr<char>(this->lifetimeToken)] {
        if (!alive.expired())
            this->ownershipConfirmed(handle, askedAt);
    });
    return false;
}

void ReplicaDispatcher::ownershipConfirmed(DispatchHandle handle, TimerService::SteadyTime askedAt)
{
    DispatchedCall *call = this->find(handle);
    if (!call || call->state != DispatchState::Starting)
        return;
    // The owner may have been replaced since it was asked.
    if (this->timers.now() - askedAt >= ownershipConfirmationTime) {
        this->requeue(*call);
        if (this->timers.now() >= call->queueDeadline)
            this->queueTimedOut(*call);
        return;
    }
    call->confirmedAttempts = call->attempts + 1;
    call->confirmedAt = askedAt;
    this->send(handle);
}

void ReplicaDispatcher::send(DispatchHandle handle)
{
    DispatchedCall *call = this->find(handle);
    if (!call || call->state != DispatchState::Starting)
        return;
    if (!this->confirmOwnership(*call))
        return;
    const bool isEngine = call->replica.kind == RouteKind::ModelEngine;
    call->queueTimer.cancel();
    call->state = DispatchState::Running;
    call->startedAt = this->timers.now();
    call->instance = this->monitor.instance(call->replica.name);
    ++call->attempts;
    if (isEngine)
        this->programCaches.recordPrefixHolder(call->request.program, call->replica.name);

    BackendRunListener runListener;
    if (call->request.stream)
        runListener.chunk = call->listener.chunk;
    runListener.finished = [this, handle](const BackendResponse &response) {
        this->runFinished(handle, response);
    };
    BackendCall backendCall = backendCallFor(*call, this->settings.maxResponseBytes);
    // A process that is paused while it connects must not send with a permission from before.
    if (call->listener.confirmOwnership)
        backendCall.sendBefore =
                std::max(call->request.decidedAt, call->confirmedAt) + ownershipConfirmationTime;
    call->run = isEngine ? this->engineClient.start(backendCall, std::move(runListener))
                         : this->serviceClient.start(backendCall, std::move(runListener));
    // This must be the last step, because the listener may cancel the call.
    const auto started = call->listener.started;
    if (started)
        started(QString(call->replica.name));
}

} // namespace lacewingmux
