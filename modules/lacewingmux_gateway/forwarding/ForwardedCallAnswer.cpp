#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/ResponseMemory.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"

#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Outcomes of attempts, for the log.
constexpr const char *completeOutcome = "complete";
constexpr const char *cancelledOutcome = "cancelled";

constexpr int okStatus = 200;
constexpr int firstErrorStatus = 300;
constexpr int firstServerErrorStatus = 500;
// Limits the memory of the VM that one response takes.
constexpr qsizetype maximumBufferedResponse = qsizetype{8} * 1024 * 1024;
// Bytes that a slow caller may leave unread before the response is aborted.
constexpr qint64 maximumUnreadBytes = qint64{1024} * 1024;
// Recorded for a timeout, as a multiple of the average response time; far above slow replicas.
constexpr double timeoutSlowdown = 8.0;
// Replicas that send no Keep-Alive timeout close idle connections in less than 1 s.
constexpr milliseconds defaultIdleTime{400};
constexpr milliseconds keepAliveMargin{500}; // for the latency of the response and the next request

bool isEventStream(const HttpResponseHead &head)
{
    return fieldValue(head.fields, "Content-Type").startsWith("text/event-stream");
}

bool isSuccess(const HttpResponseHead &head)
{
    return head.status >= okStatus && head.status < firstErrorStatus;
}

/** Returns how the end of the response is marked, for the log. */
const char *framingOf(const HttpResponseHead &head)
{
    if (head.status == 0)
        return "none";
    if (head.bodyEndsAtClose)
        return "close";
    return fieldValue(head.fields, "Transfer-Encoding").isEmpty() ? "length" : "chunked";
}

} // namespace

bool ForwardedCall::matchesRequest(const HttpResponseHead &responseHead)
{
    this->responseInfo = this->context.dialect.parseResponse(responseHead);
    this->recordAnnouncements();
    if (this->responseInfo.requestId.isEmpty())
        return !isSuccess(responseHead); // refusals before the request was read carry no id
    return this->responseInfo.requestId == this->description.requestId;
}

void ForwardedCall::recordAnnouncements()
{
    // Also a response to another request comes from the replica at the end of this connection.
    if (this->responseInfo.isLeaving)
        this->context.fleet.recordLeaving(this->replica, this->replicaStartMilliseconds);
    // A spoilt response, or one to another request, does not mean that a limit has ended.
    const bool isOwnResponse = this->responseInfo.hasServerStamp
                               && this->responseInfo.requestId == this->description.requestId;
    if (this->responseInfo.wrongInstance)
        return;
    this->recordColdness(isOwnResponse);
    if (!this->responseInfo.requestLimit && !isOwnResponse)
        return;
    this->context.fleet.recordLimit(this->replica, this->replicaStartMilliseconds,
                                    this->responseInfo.requestLimit);
}

void ForwardedCall::handleHead(const HttpResponseHead &responseHead)
{
    this->head = responseHead;
    this->recordReplicaActivity();
    this->body.clear();
    this->isStream = this->route.kind == RouteKind::Stream && responseHead.status == okStatus
                     && isEventStream(responseHead);
    this->isInvalidResponse =
            isSuccess(responseHead)
            && (!this->responseInfo.hasServerStamp || this->responseInfo.hasContentCoding);
    this->context.fleet.placement().recordReachable(this->replica);
    this->recordLoadReport();
}

void ForwardedCall::recordReplicaActivity()
{
    this->lastReplicaActivity = this->now();
    if (!this->connection->tunnel())
        this->context.fleet.recordDirectContact();
}

void ForwardedCall::handleBody(const QByteArray &bytes)
{
    this->recordReplicaActivity();
    if (this->isInvalidResponse) {
        this->handleFailure(ExchangeFailure::Malformed);
        return;
    }
    if (this->isStream) {
        this->forwardEvents(bytes);
        return;
    }
    this->body += bytes;
    if (!this->accountResponse(this->body.size()))
        this->handleFailure(ExchangeFailure::Malformed);
}

bool ForwardedCall::accountResponse(qsizetype bytes)
{
    const qsizetype before = std::exchange(this->accountedBytes, bytes);
    return this->context.responseMemory.resize(before, bytes) && bytes <= maximumBufferedResponse;
}

void ForwardedCall::handleComplete()
{
    this->logAttempt(completeOutcome);
    this->releaseConnection();
    this->context.fleet.placement().callEnded(this->replica);
    if (this->responseInfo.notExecuted || this->responseInfo.wrongInstance) {
        this->handleRejection();
        return;
    }
    if (this->isInvalidResponse || (this->isStream && this->eventParser.hasPartialEvent())) {
        this->context.fleet.placement().recordFailure(this->replica, this->now());
        if (this->isStream)
            this->resumeOrAbortStream("the stream ended within an event");
        else if (this->mayRetry())
            this->placeCall();
        else
            this->fail(ErrorKind::BackendFailed, "the replica's answer is unusable");
        return;
    }
    if (this->isStream) {
        this->finishStream();
        return;
    }
    if (this->head.status >= firstServerErrorStatus && this->mayRetry()) {
        this->context.fleet.placement().recordFailure(this->replica, this->now());
        this->excludedInstances.push_back(this->replica);
        this->placeCall();
        return;
    }
    this->forwardResponse();
}

void ForwardedCall::handleFailure(ExchangeFailure reason)
{
    const std::shared_ptr<const TunnelUse> tunnel =
            this->connection ? this->connection->tunnel() : nullptr;
    this->abortExchange(describe(reason));
    if (reason == ExchangeFailure::TunnelFailed) {
        --this->possibleRuns;
        this->context.fleet.recordTunnelFailure(tunnel->endpoint().vm);
        this->placeCall(); // the same replica may be reachable through another VM
        return;
    }
    if (reason == ExchangeFailure::NotConnected) {
        --this->possibleRuns;
        this->handleNotConnected(tunnel);
        return;
    }
    this->excludedInstances.push_back(this->replica);
    Placement &placement = this->context.fleet.placement();
    if (reason != ExchangeFailure::TunnelLost)
        placement.recordFailure(this->replica, this->now());
    // An unreachable replica does not count against the route's limit of attempts.
    if (reason == ExchangeFailure::Unreachable && this->route.isRepeatable())
        ++this->uncountedRuns;
    if (reason == ExchangeFailure::Closed)
        this->context.fleet.crashCorrelator().recordBrokenConnection(
                this->replica, this->contentDigest(), this->now());
    if (this->streamStarted)
        this->resumeOrAbortStream(describe(reason));
    else if (this->mayRetry())
        this->placeCall();
    else
        this->fail(ErrorKind::BackendFailed, describe(reason));
}

void ForwardedCall::handleRejection()
{
    --this->possibleRuns;
    ++this->rejections;
    Placement &placement = this->context.fleet.placement();
    if (this->responseInfo.wrongInstance)
        placement.markReplaced(this->replica);
    else
        placement.recordRejection(this->replica, this->now());
    this->excludedInstances.push_back(this->replica);
    this->placeCall();
}

void ForwardedCall::forwardEvents(const QByteArray &bytes)
{
    const QByteArray whole = this->eventParser.append(bytes);
    if (!this->accountResponse(this->eventParser.bufferedBytes())) {
        this->handleFailure(ExchangeFailure::Malformed);
        return;
    }
    if (whole.isEmpty())
        return;
    this->recordEvents();
    if (this->streamStarted) {
        this->caller->sendChunk(whole);
    } else {
        this->streamStarted = true;
        this->timeToFirstEvent = std::chrono::floor<milliseconds>(this->now() - this->arrived);
        this->phase = Phase::Streaming;
        this->caller->beginStream(this->head.status, this->head.reason,
                                  this->context.dialect.fieldsForCaller(this->head), whole);
    }
    if (this->caller->unsentBytes() > maximumUnreadBytes)
        this->abortResponse("the caller does not read");
}

void ForwardedCall::forwardResponse()
{
    const milliseconds elapsed = std::chrono::floor<milliseconds>(this->now() - this->sentAt);
    this->context.metrics.observe("lacewingmux_replica_answer_seconds", {}, elapsed);
    this->recordCallDuration();
    this->settleReservation();
    this->caller->sendResponse(this->head.status, this->head.reason,
                               this->context.dialect.fieldsForCaller(this->head), this->body);
    this->end("answered");
}

void ForwardedCall::finishStream()
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->caller->beginStream(this->head.status, this->head.reason,
                                  this->context.dialect.fieldsForCaller(this->head), {});
    }
    this->recordWriting();
    this->context.fleet.placement().recordPrompt(this->replica, this->description.promptParts);
    this->recordTurnDuration();
    if (!this->isTurn()) {
        this->settleReservation();
        this->caller->endStream();
        this->end("streamed");
        return;
    }
    this->phase = Phase::Storing;
    this->budgetReserved = false;
    this->context.turnStore.store(this->turnRequest, this->request.body, this->eventParser.data(),
                                  this->deliveredTokens(),
                                  [weakSelf = this->weak_from_this()](bool durable) {
                                      const auto self = weakSelf.lock();
                                      if (!self || self->phase != Phase::Storing)
                                          return;
                                      if (!durable) {
                                          self->abortResponse("the turn could not be kept");
                                          return;
                                      }
                                      self->caller->endStream();
                                      self->end("streamed");
                                  });
}

void ForwardedCall::resumeOrAbortStream(const char *reason)
{
    this->eventParser.dropPartialEvent();
    if (this->mayRetry() && !this->eventParser.lastId().isEmpty()) {
        this->placeCall();
        return;
    }
    this->abortResponse(reason);
}

void ForwardedCall::handleTimeout()
{
    switch (this->phase) {
    case Phase::Admitting:
    case Phase::Placing:
        if (this->possibleRuns > 0)
            this->fail(ErrorKind::BackendTimeout, "the time is up");
        else
            this->refuse(ErrorKind::QueueTimeout, "the time is up, and no replica had room",
                         milliseconds(0));
        break;
    case Phase::Sent:
        this->context.fleet.placement().recordSlowdown(this->replica, timeoutSlowdown, this->now());
        this->fail(ErrorKind::BackendTimeout, "the replica did not answer in time");
        break;
    case Phase::Streaming:
        this->abortResponse("the time is up");
        break;
    case Phase::Storing: // a complete turn is not discarded at the deadline
    case Phase::Ended:
        break;
    }
}

void ForwardedCall::callerDisconnected()
{
    if (this->phase == Phase::Ended)
        return;
    if (this->phase != Phase::Storing)
        this->settleReservation();
    this->end("callerLeft");
}

void ForwardedCall::abortExchange(const char *outcome)
{
    if (!this->connection)
        return;
    this->logAttempt(outcome);
    this->connection->abort();
    this->connection.reset();
    this->context.fleet.placement().callEnded(this->replica);
}

void ForwardedCall::releaseConnection()
{
    if (!this->connection)
        return;
    const milliseconds kept =
            this->responseInfo.keepAliveSeconds
                    ? std::chrono::seconds(*this->responseInfo.keepAliveSeconds) - keepAliveMargin
                    : defaultIdleTime;
    this->connection->setReusableUntil(this->now() + kept);
    this->context.fleet.release(this->replica, this->replicaStartMilliseconds,
                                std::move(this->connection));
    this->connection.reset();
}

void ForwardedCall::refuse(ErrorKind kind, const char *reason, milliseconds retryAfter)
{
    if (this->possibleRuns > 0)
        this->fail(ErrorKind::BackendFailed, reason);
    else
        this->sendErrorResponse(kind, reason, retryAfter);
}

void ForwardedCall::fail(ErrorKind kind, const char *reason)
{
    if (this->streamStarted)
        this->abortResponse(reason);
    else
        this->sendErrorResponse(kind, reason, milliseconds(0));
}

void ForwardedCall::sendErrorResponse(ErrorKind kind, const char *reason, milliseconds retryAfter)
{
    this->abortExchange(cancelledOutcome);
    this->settleReservation();
    const ErrorAnswer &answer = answerFor(kind);
    HttpFields fields = this->context.dialect.fieldsForOwnResponse(this->description);
    fields.push_back({QByteArrayLiteral("Content-Type"), QByteArrayLiteral("application/json")});
    if (retryAfter.count() > 0)
        fields.push_back({QByteArrayLiteral("Retry-After"),
                          QByteArray::number(static_cast<double>(retryAfter.count()) / 1000.0)});
    const QJsonObject error{{QStringLiteral("kind"), QLatin1String(answer.name)},
                            {QStringLiteral("message"), QLatin1String(reason)}};
    const QJsonObject document{{QStringLiteral("error"), error}};
    this->caller->sendResponse(answer.httpStatus, reasonPhrase(answer.httpStatus), fields,
                               QJsonDocument(document).toJson(QJsonDocument::Compact));
    this->endReason = reason;
    this->end(answer.name);
}

void ForwardedCall::abortResponse(const char *reason)
{
    this->endReason = reason;
    this->abortExchange(cancelledOutcome);
    this->settleReservation();
    this->caller->abort();
    this->end("brokenOff");
}

void ForwardedCall::settleReservation()
{
    if (!std::exchange(this->budgetReserved, false))
        return;
    this->context.turnStore.settle(this->turnRequest, this->deliveredTokens());
}

void ForwardedCall::end(const char *outcome)
{
    if (this->phase == Phase::Ended)
        return;
    this->phase = Phase::Ended;
    this->abortExchange(cancelledOutcome);
    this->deadlineTimer.cancel();
    this->placementTimer.cancel();
    this->activityTimer.cancel();
    std::ignore = this->accountResponse(0);
    if (std::exchange(this->quotaHeld, false))
        this->context.quota.refund(this->quotaRequest);
    this->logOutcome(outcome);
    this->context.metrics.observe(
            "lacewingmux_request_duration_seconds",
            {{QStringLiteral("outcome"), QLatin1String(outcome)}},
            std::chrono::floor<std::chrono::microseconds>(this->now() - this->arrived));
    this->context.metrics.count("lacewingmux_calls_total",
                                {{QStringLiteral("outcome"), QLatin1String(outcome)}}, 1);
    const auto hook = std::exchange(this->endedCallback, nullptr);
    if (hook)
        hook();
}

void ForwardedCall::logAttempt(const char *outcome) const
{
    const bool streamed = this->head.status != 0 && this->isStream;
    const qsizetype cutBytes = streamed ? this->eventParser.partialBytes() : 0;
    const int discarded = this->connection->discardedResponses();
    this->context.metrics.count("lacewingmux_replica_attempts_total",
                                {{QStringLiteral("outcome"), QLatin1String(outcome)}}, 1);
    if (cutBytes > 0)
        this->context.metrics.count("lacewingmux_cut_events_total", {}, 1);
    if (discarded > 0)
        this->context.metrics.count("lacewingmux_discarded_responses_total", {}, discarded);
    const std::string_view name = outcome;
    const bool isUsual = name == completeOutcome || name == cancelledOutcome;
    if (isUsual && this->attempts == 1 && cutBytes == 0 && discarded == 0)
        return;
    LogEvent(LogSeverity::Info, "attemptEnded")
            .field("request", this->description.requestId)
            .field("attempt", this->attempts)
            .field("replica", this->replica)
            .field("started", static_cast<qint64>(this->replicaStartMilliseconds))
            .field("outcome", outcome)
            .field("status", this->head.status)
            .field("framing", framingOf(this->head))
            .field("bodyBytes", static_cast<qint64>(this->body.size()))
            .field("events",
                   static_cast<qint64>(this->eventParser.count() - this->eventsBeforeAttempt))
            .field("resumedAfter", this->resumedAfter)
            .field("lastEvent", this->eventParser.lastId())
            .field("cutBytes", static_cast<qint64>(cutBytes))
            .field("exchange", this->connection->exchangeCount())
            .field("discarded", discarded);
}

void ForwardedCall::logOutcome(const char *outcome) const
{
    const auto elapsed = std::chrono::floor<milliseconds>(this->now() - this->arrived);
    LogEvent line(LogSeverity::Info, "callEnded");
    line.field("request", this->description.requestId)
            .field("outcome", outcome)
            .field("milliseconds", static_cast<qint64>(elapsed.count()))
            .field("route", this->route.name);
    if (!this->endReason.isEmpty())
        line.field("reason", this->endReason);
    if (!this->team.name.isEmpty())
        line.field("team", this->team.name);
    if (this->quotaRefused)
        line.field("requestsPerSecond", this->team.requestsPerSecond)
                .field("burst", this->team.burst)
                .field("reserve", this->quotaRequest.reserve);
    if (!this->description.program.isEmpty())
        line.field("program", this->description.program);
    if (!this->turnRequest.previousTurn.isEmpty())
        line.field("previousTurn", this->turnRequest.previousTurn);
    if (!this->replica.isEmpty())
        line.field("replica", this->replica)
                .field("status", this->head.status)
                .field("runs", this->possibleRuns)
                .field("admittedAfter", static_cast<qint64>(this->admissionTime.count()))
                .field("sentAfter",
                       static_cast<qint64>(
                               this->timeToFirstSend.value_or(milliseconds(0)).count()));
    if (this->rejections > 0)
        line.field("rejections", this->rejections);
    if (this->eventParser.count() > 0)
        line.field("events", static_cast<qint64>(this->eventParser.count()))
                .field("firstEventAfter", static_cast<qint64>(this->timeToFirstEvent.count()));
    if (this->context.table)
        line.field("configuration", static_cast<quint64>(this->context.table->version()));
}

} // namespace lacewingmux
