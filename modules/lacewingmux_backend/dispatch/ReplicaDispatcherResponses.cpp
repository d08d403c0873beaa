#include "lacewingmux_backend/clients/BackendResponse.h"
#include "lacewingmux_backend/dispatch/DispatchResults.h"
#include "lacewingmux_backend/dispatch/ReplicaDispatcher.h"
#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

void ReplicaDispatcher::runFinished(DispatchHandle handle, const BackendResponse &response)
{
    DispatchedCall *call = this->find(handle);
    if (!call || call->state != DispatchState::Running)
        return;
    // The run is the caller of this function and must stay alive until it returns.
    const auto finishedRun = std::move(call->run);
    switch (response.failure) {
    case BackendFailure::None:
        this->responseReceived(*call, response);
        return;
    case BackendFailure::ConnectionLost:
        this->connectionLost(*call, response);
        return;
    case BackendFailure::NotSent:
        this->monitor.unreachable(call->replica.name);
        break;
    case BackendFailure::ConnectTimedOut:
        this->monitor.timedOut(call->replica.name);
        break;
    case BackendFailure::TimedOut:
        this->monitor.timedOut(call->replica.name);
        if (call->replica.kind == RouteKind::ModelEngine && call->request.idempotent)
            this->engineClient.cancel(call->replica.url, call->request.requestId);
        break;
    case BackendFailure::ConnectedTooLate:
    case BackendFailure::ResponseTooLarge:
    case BackendFailure::MismatchedResponse:
    case BackendFailure::Cancelled:
        break;
    }
    this->releaseReplica(*call);
    const bool notRun = response.executed == Executed::No;
    const bool worthRetrying = notRun || response.failure == BackendFailure::MismatchedResponse;
    if (!worthRetrying || !this->retryCall(*call, notRun))
        this->finish(handle, backendFailureResult(response, call->request.idempotent));
}

void ReplicaDispatcher::responseReceived(DispatchedCall &call, const BackendResponse &response)
{
    this->monitor.answered(call.replica.name);
    this->releaseReplica(call);
    if (isTransientStatus(response.httpStatus) && this->retryCall(call, false))
        return;
    if (!call.request.contentDigest.isEmpty())
        this->quarantine.completed(call.request.contentDigest);
    if (call.replica.kind == RouteKind::ModelEngine) {
        const std::int64_t computed =
                response.inputTokens - response.cachedTokens + response.outputTokens;
        this->pools.at(call.request.route).queue.settle(call.item, computed);
        this->prefixes.observed(call.replica.name, call.expectedCachedTokens,
                                response.cachedTokens);
        if (!call.request.program.isEmpty() && !this->isProgramEnded(call.request.program))
            this->prefixes.served(call.request.program, call.replica.name,
                                  response.inputTokens + response.outputTokens);
    } else {
        this->pools.at(call.request.route).queue.settle(call.item, 1);
    }
    DispatchResult result = completedResult(response);
    result.queueTime =
            std::chrono::duration_cast<std::chrono::microseconds>(call.startedAt - call.receivedAt);
    result.runTime = std::chrono::duration_cast<std::chrono::microseconds>(this->timers.now()
                                                                           - call.startedAt);
    this->finish(call.handle, std::move(result));
}

void ReplicaDispatcher::connectionLost(DispatchedCall &call, const BackendResponse &response)
{
    this->releaseReplica(call);
    call.state = DispatchState::CheckingReplica;
    const DispatchHandle handle = call.handle;
    this->monitor.checkForCrash(call.replica.name, call.instance,
                                [this, handle, response](bool crashed) {
                                    this->crashCheckFinished(handle, response, crashed);
                                });
}

void ReplicaDispatcher::crashCheckFinished(DispatchHandle handle, const BackendResponse &response,
                                           bool crashed)
{
    DispatchedCall *call = this->find(handle);
    if (!call || call->state != DispatchState::CheckingReplica)
        return;
    if (crashed)
        this->recordCrash(*call);
    if (this->quarantineVerdict(*call) == QuarantineVerdict::Quarantined)
        this->finish(handle, this->quarantinedResult(*call, Executed::Unknown));
    else if (!this->retryCall(*call, false))
        this->finish(handle, backendFailureResult(response, call->request.idempotent));
}

void ReplicaDispatcher::recordCrash(const DispatchedCall &call)
{
    this->environment.metrics.count("lacewingmux_replica_crashes_total",
                                    {{QStringLiteral("route"), call.request.route}}, 1);
    if (call.request.contentDigest.isEmpty())
        return;
    const CrashCoincidence coincidence{call.request.contentDigest, call.replica.zone + u'/'
                                                                           + call.replica.name
                                                                           + u'#' + call.instance};
    if (!this->quarantine.record(coincidence, this->timers.now()))
        return;
    LogEvent(LogSeverity::Warning, "replicaCrashed")
            .field("replica", call.replica.name)
            .field("request", call.request.requestId);
    if (this->environment.coincidenceRecorded)
        this->environment.coincidenceRecorded(coincidence);
}

bool ReplicaDispatcher::retryCall(DispatchedCall &call, bool certainlyNotRun)
{
    const bool safe = certainlyNotRun || call.request.idempotent;
    if (!safe || this->isProgramEnded(call.request.program)
        || call.attempts >= this->settings.maxAttempts)
        return false;
    RetryBudget &budget = this->pools.at(call.request.route).retryBudget;
    if (!certainlyNotRun && !budget.tryRetry(this->timers.now()))
        return false;
    call.mayHaveRun = call.mayHaveRun || !certainlyNotRun;
    call.excluded.push_back(call.replica.name);
    this->environment.metrics.count("lacewingmux_call_retries_total",
                                    {{QStringLiteral("route"), call.request.route}}, 1);
    this->pools.at(call.request.route).queue.settle(call.item, 0);
    this->enqueue(call);
    return true;
}

void ReplicaDispatcher::requeue(DispatchedCall &call)
{
    this->releaseReplica(call);
    RoutePool &pool = this->pools.at(call.request.route);
    pool.queue.settle(call.item, 0);
    call.state = DispatchState::Queued;
    pool.queue.push(call.item, call.receivedAt);
}

void ReplicaDispatcher::releaseReplica(DispatchedCall &call)
{
    call.powerReservation.release();
    const QString route = call.request.route;
    this->pools.at(route).chooser.finished(call.replica.name, this->timers.now(), call.suspect);
    this->scheduleQueueProcessing(route);
}

void ReplicaDispatcher::finish(DispatchHandle handle, DispatchResult result)
{
    auto node = this->calls.extract(handle);
    DispatchedCall &call = *node.mapped();
    result.replica = call.replica.name;
    result.zone = this->environment.self.zone;
    this->recordMetrics(call, result);
    this->programCallFinished(call.request.program);
    this->timers.post([finished = std::move(call.listener.finished), result = std::move(result),
                       alive = std::weak_ptr<char>(this->lifetimeToken)] {
        if (!alive.expired())
            finished(result);
    });
}

void ReplicaDispatcher::programCallFinished(const QString &program)
{
    const auto activeProgram = this->activePrograms.find(program);
    if (activeProgram == this->activePrograms.end() || --activeProgram->second.calls > 0)
        return;
    const bool ended = activeProgram->second.ended;
    this->activePrograms.erase(activeProgram);
    if (ended)
        this->programCaches.ended(program);
}

bool ReplicaDispatcher::isProgramEnded(const QString &program) const
{
    const auto activeProgram = this->activePrograms.find(program);
    return activeProgram != this->activePrograms.end() && activeProgram->second.ended;
}

void ReplicaDispatcher::recordMetrics(const DispatchedCall &call, const DispatchResult &result)
{
    const QString outcome = result.completed ? QStringLiteral("completed")
                                             : QString::fromLatin1(answerFor(result.error).name);
    const MetricLabel route{QStringLiteral("route"), call.request.route};
    MetricsRecorder &metrics = this->environment.metrics;
    metrics.count("lacewingmux_calls_total", {route, {QStringLiteral("outcome"), outcome}}, 1);
    if (!result.completed)
        return;
    metrics.observe("lacewingmux_queue_seconds", {route}, result.queueTime);
    metrics.observe("lacewingmux_run_seconds", {route}, result.runTime);
    metrics.count("lacewingmux_input_tokens_total", {route},
                  static_cast<double>(result.inputTokens));
    metrics.count("lacewingmux_cached_tokens_total", {route},
                  static_cast<double>(result.cachedTokens));
}

void ReplicaDispatcher::updateReplicaState(const QString &name)
{
    const ReplicaSnapshot *replica = this->replicas->find(name);
    if (!replica)
        return;
    const auto pool = this->pools.find(replica->record.route);
    if (pool == this->pools.end())
        return;
    ReplicaState state = ReplicaState::Serving;
    if (replica->leaving)
        state = ReplicaState::Leaving;
    else if (this->monitor.isBroken(name))
        state = ReplicaState::Broken;
    pool->second.chooser.setState(name, state);
    this->scheduleQueueProcessing(replica->record.route);
}

QuarantineVerdict ReplicaDispatcher::quarantineVerdict(const DispatchedCall &call) const
{
    if (call.request.contentDigest.isEmpty())
        return QuarantineVerdict::Clear;
    return this->quarantine.verdict(call.request.contentDigest, this->timers.now());
}

DispatchResult ReplicaDispatcher::quarantinedResult(const DispatchedCall &call,
                                                    Executed executed) const
{
    return failedResult(
            ErrorKind::Quarantined, executed,
            QStringLiteral("the request crashed the backend servers that ran it"),
            this->quarantine.retryAfter(call.request.contentDigest, this->timers.now()));
}

DispatchedCall *ReplicaDispatcher::find(DispatchHandle handle)
{
    const auto found = this->calls.find(handle);
    return found == this->calls.end() ? nullptr : found->second.get();
}

} // namespace lacewingmux
