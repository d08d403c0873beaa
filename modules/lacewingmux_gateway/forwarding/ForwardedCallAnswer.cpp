#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
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
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr int okStatus = 200;
constexpr int firstErrorStatus = 300;
constexpr int firstServerErrorStatus = 500;
constexpr qsizetype largestHeldAnswer = qsizetype{8} * 1024 * 1024; // a share of the VM's memory
constexpr qint64 slowReaderLimit = qint64{1024} * 1024; // unread bytes before it is given up
constexpr double timedOutPace = 8.0; // as a multiple of the usual time; far above any slow replica
constexpr milliseconds keptWithoutNotice{400}; // a replica that names no idle time waits below 1 s
constexpr milliseconds keepAliveMargin{500};   // for the answer and the next request on their way

const char *failureText(ExchangeFailure reason)
{
    switch (reason) {
    case ExchangeFailure::NotConnected:
        return "no connection to the replica came about";
    case ExchangeFailure::Closed:
        return "the replica closed the connection";
    case ExchangeFailure::Malformed:
        return "the replica's answer is unreadable";
    case ExchangeFailure::Unreachable:
        return "the replica can't be reached any more";
    }
    return "the replica failed";
}

bool isEventStream(const HttpResponseHead &head)
{
    return fieldValue(head.fields, "Content-Type").startsWith("text/event-stream");
}

bool isSuccess(const HttpResponseHead &head)
{
    return head.status >= okStatus && head.status < firstErrorStatus;
}

} // namespace

bool ForwardedCall::belongs(const HttpResponseHead &answer)
{
    this->verdict = this->services.dialect.parseResponse(answer);
    if (this->verdict.requestId.isEmpty())
        return !isSuccess(answer); // refusals before the request was read name none
    return this->verdict.requestId == this->description.requestId;
}

void ForwardedCall::handleHead(const HttpResponseHead &answer)
{
    this->head = answer;
    this->lastHeard = this->now();
    this->body.clear();
    this->streamed = this->route.kind == RouteKind::Stream && answer.status == okStatus
                     && isEventStream(answer);
    this->unusable =
            isSuccess(answer) && (!this->verdict.hasServerStamp || this->verdict.hasContentCoding);
    this->services.fleet.placement().noteReached(this->replica);
    if (this->verdict.load)
        this->services.fleet.placement().noteLoad(this->replica, *this->verdict.load, this->now());
}

void ForwardedCall::handleBody(const QByteArray &bytes)
{
    this->lastHeard = this->now();
    if (this->unusable) {
        this->handleFailure(ExchangeFailure::Malformed);
        return;
    }
    if (this->streamed) {
        this->passEvents(bytes);
        return;
    }
    this->body += bytes;
    if (this->body.size() > largestHeldAnswer)
        this->handleFailure(ExchangeFailure::Malformed);
}

void ForwardedCall::handleComplete()
{
    this->keepConnection();
    this->services.fleet.placement().ended(this->replica);
    if (this->verdict.notExecuted || this->verdict.wrongInstance) {
        this->handleRejection();
        return;
    }
    if (this->unusable || (this->streamed && this->events.isWithinEvent())) {
        this->services.fleet.placement().noteFailure(this->replica, this->now());
        if (this->streamed)
            this->resumeOrBreakOff("the stream ended within an event");
        else if (this->mayRunAgain())
            this->place();
        else
            this->fail(ErrorKind::BackendFailed, "the replica's answer is unusable");
        return;
    }
    if (this->streamed) {
        this->finishStream();
        return;
    }
    if (this->head.status >= firstServerErrorStatus && this->mayRunAgain()) {
        this->services.fleet.placement().noteFailure(this->replica, this->now());
        this->avoided.push_back(this->replica);
        this->place();
        return;
    }
    this->passWhole();
}

void ForwardedCall::handleFailure(ExchangeFailure reason)
{
    this->leaveReplica();
    Placement &placement = this->services.fleet.placement();
    this->avoided.push_back(this->replica);
    if (reason == ExchangeFailure::NotConnected) {
        --this->runs;
        this->services.fleet.noteUnreachable(this->replica);
        this->place();
        return;
    }
    placement.noteFailure(this->replica, this->now());
    // A replica that is cut off doesn't count among those that may run the request.
    if (reason == ExchangeFailure::Unreachable && this->route.isRepeatable())
        --this->runs;
    if (reason == ExchangeFailure::Closed)
        this->services.fleet.suspicions().noteBroken(this->replica, this->contentDigest(),
                                                     this->now());
    if (this->streamBegun)
        this->resumeOrBreakOff(failureText(reason));
    else if (this->mayRunAgain())
        this->place();
    else
        this->fail(ErrorKind::BackendFailed, failureText(reason));
}

void ForwardedCall::handleRejection()
{
    --this->runs;
    ++this->rejections;
    Placement &placement = this->services.fleet.placement();
    if (this->verdict.wrongInstance)
        placement.noteReplaced(this->replica);
    else
        placement.noteRejection(this->replica, this->now());
    this->avoided.push_back(this->replica);
    this->place();
}

void ForwardedCall::passEvents(const QByteArray &bytes)
{
    const QByteArray whole = this->events.append(bytes);
    if (whole.isEmpty())
        return;
    if (this->streamBegun) {
        this->caller->sendPart(whole);
    } else {
        this->streamBegun = true;
        this->untilFirstEvent = std::chrono::floor<milliseconds>(this->now() - this->arrived);
        this->phase = Phase::Streaming;
        this->caller->beginStream(this->head.status, this->head.reason,
                                  this->services.dialect.fieldsForCaller(this->head), whole);
    }
    if (this->caller->unsentBytes() > slowReaderLimit)
        this->breakOff("the caller does not read");
}

void ForwardedCall::passWhole()
{
    const milliseconds elapsed = std::chrono::floor<milliseconds>(this->now() - this->sentAt);
    this->services.metrics.observe("lacewingmux_replica_answer_seconds", {}, elapsed);
    this->settle();
    this->caller->sendAnswer(this->head.status, this->head.reason,
                             this->services.dialect.fieldsForCaller(this->head), this->body);
    this->end("answered");
}

void ForwardedCall::finishStream()
{
    if (!this->streamBegun) {
        this->streamBegun = true;
        this->caller->beginStream(this->head.status, this->head.reason,
                                  this->services.dialect.fieldsForCaller(this->head), {});
    }
    this->services.fleet.placement().notePrompt(this->replica, this->description.promptParts);
    if (!this->isTurn()) {
        this->settle();
        this->caller->endStream();
        this->end("streamed");
        return;
    }
    this->phase = Phase::Storing;
    this->reserved = false;
    this->services.ledger.store(this->opening, this->request.body, this->events.data(),
                                this->tokensHandedOut(),
                                [guard = this->weak_from_this()](bool durable) {
                                    const auto self = guard.lock();
                                    if (!self || self->phase != Phase::Storing)
                                        return;
                                    if (!durable) {
                                        self->breakOff("the turn could not be kept");
                                        return;
                                    }
                                    self->caller->endStream();
                                    self->end("streamed");
                                });
}

void ForwardedCall::resumeOrBreakOff(const char *reason)
{
    this->events.dropPartialEvent();
    if (this->mayRunAgain() && !this->events.lastId().isEmpty()) {
        this->place();
        return;
    }
    this->breakOff(reason);
}

void ForwardedCall::handleTimeout()
{
    switch (this->phase) {
    case Phase::Admitting:
    case Phase::Placing:
        if (this->runs > 0)
            this->fail(ErrorKind::BackendTimeout, "the time is up");
        else
            this->refuse(ErrorKind::QueueTimeout, "the time is up, and no replica had room",
                         milliseconds(0));
        break;
    case Phase::Sent:
        this->services.fleet.placement().notePace(this->replica, timedOutPace, this->now());
        this->fail(ErrorKind::BackendTimeout, "the replica did not answer in time");
        break;
    case Phase::Streaming:
        this->breakOff("the time is up");
        break;
    case Phase::Storing: // nothing is gained by giving up a whole turn
    case Phase::Ended:
        break;
    }
}

void ForwardedCall::callerLeft()
{
    if (this->phase == Phase::Ended)
        return;
    if (this->phase != Phase::Storing)
        this->settle();
    this->end("callerLeft");
}

void ForwardedCall::leaveReplica()
{
    if (!this->connection)
        return;
    this->connection->abort();
    this->connection.reset();
    this->services.fleet.placement().ended(this->replica);
}

void ForwardedCall::keepConnection()
{
    if (!this->connection)
        return;
    const milliseconds kept =
            this->verdict.keepAliveSeconds
                    ? std::chrono::seconds(*this->verdict.keepAliveSeconds) - keepAliveMargin
                    : keptWithoutNotice;
    this->connection->setReusableUntil(this->now() + kept);
    this->services.fleet.release(this->replica, std::move(this->connection));
    this->connection.reset();
}

void ForwardedCall::refuse(ErrorKind kind, const char *reason, milliseconds retryAfter)
{
    if (this->streamBegun)
        this->breakOff(reason);
    else
        this->answerOwn(kind, reason, retryAfter);
}

void ForwardedCall::fail(ErrorKind kind, const char *reason)
{
    this->refuse(kind, reason, milliseconds(0));
}

void ForwardedCall::answerOwn(ErrorKind kind, const char *reason, milliseconds retryAfter)
{
    this->leaveReplica();
    this->settle();
    const ErrorAnswer &answer = answerFor(kind);
    HttpFields fields = this->services.dialect.fieldsForOwnResponse(this->description);
    fields.push_back({QByteArrayLiteral("Content-Type"), QByteArrayLiteral("application/json")});
    if (retryAfter.count() > 0)
        fields.push_back({QByteArrayLiteral("Retry-After"),
                          QByteArray::number(static_cast<double>(retryAfter.count()) / 1000.0)});
    const QJsonObject error{{QStringLiteral("kind"), QLatin1String(answer.name)},
                            {QStringLiteral("message"), QLatin1String(reason)}};
    const QJsonObject document{{QStringLiteral("error"), error}};
    this->caller->sendAnswer(answer.httpStatus, reasonPhrase(answer.httpStatus), fields,
                             QJsonDocument(document).toJson(QJsonDocument::Compact));
    this->endReason = reason;
    this->end(answer.name);
}

void ForwardedCall::breakOff(const char *reason)
{
    this->endReason = reason;
    this->leaveReplica();
    this->settle();
    this->caller->abort();
    this->end("brokenOff");
}

void ForwardedCall::settle()
{
    if (!std::exchange(this->reserved, false))
        return;
    this->services.ledger.settle(this->opening, this->tokensHandedOut());
}

void ForwardedCall::end(const char *outcome)
{
    if (this->phase == Phase::Ended)
        return;
    this->phase = Phase::Ended;
    this->leaveReplica();
    this->timeout.cancel();
    this->retry.cancel();
    this->silenceWatch.cancel();
    if (std::exchange(this->quotaTaken, false))
        this->services.quota.refund(this->quotaRequest);
    this->logEnd(outcome);
    this->services.metrics.observe(
            "lacewingmux_request_duration_seconds",
            {{QStringLiteral("outcome"), QLatin1String(outcome)}},
            std::chrono::floor<std::chrono::microseconds>(this->now() - this->arrived));
    this->services.metrics.count("lacewingmux_calls_total",
                                 {{QStringLiteral("outcome"), QLatin1String(outcome)}}, 1);
    const auto hook = std::exchange(this->ended, nullptr);
    if (hook)
        hook();
}

void ForwardedCall::logEnd(const char *outcome) const
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
    if (!this->opening.previousTurn.isEmpty())
        line.field("previousTurn", this->opening.previousTurn);
    if (!this->replica.isEmpty())
        line.field("replica", this->replica)
                .field("status", this->head.status)
                .field("runs", this->runs)
                .field("admittedAfter", static_cast<qint64>(this->untilAdmitted.count()))
                .field("sentAfter",
                       static_cast<qint64>(this->untilSent.value_or(milliseconds(0)).count()));
    if (this->rejections > 0)
        line.field("rejections", this->rejections);
    if (this->events.count() > 0)
        line.field("events", static_cast<qint64>(this->events.count()))
                .field("firstEventAfter", static_cast<qint64>(this->untilFirstEvent.count()));
    if (this->services.table)
        line.field("configuration", static_cast<quint64>(this->services.table->version()));
}

} // namespace lacewingmux
