#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/ResponseFault.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/http/MemoryAccount.h"
#include "lacewingmux_gateway/http/ResponseSearch.h"
#include "lacewingmux_gateway/http/StatusLine.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include "lacewingmux_core/metrics/MetricsRecorder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr int okStatus = 200;
constexpr int firstErrorStatus = 300;
constexpr int badRequestStatus = 400;
constexpr int firstServerErrorStatus = 500;
// Limits the memory of the VM that one response takes.
constexpr qsizetype maximumBufferedResponse = qsizetype{8} * 1024 * 1024;
// Recorded for a timeout, as a multiple of the average response time; far above slow replicas.
constexpr double timeoutSlowdown = 8.0;
// Replicas that send no Keep-Alive timeout close idle connections in less than 1 s.
constexpr milliseconds defaultIdleTime{400};
constexpr milliseconds keepAliveMargin{500}; // for the latency of the response and the next request
constexpr const char *turnNotKept = "the turn could not be kept";

// Between two parts of one write that the network has split.
constexpr milliseconds splitWriteTime{20};
// The same if the second part has to be sent again.
constexpr milliseconds retransmissionTime{250};

// Reading what arrived in time takes a few milliseconds; bounds the delay by a replica that sends
// without end.
constexpr milliseconds longestOverdueReading{50};
constexpr milliseconds overdueReadingInterval{1};

// Replicas measure the time that they are given with timers of their own.
constexpr milliseconds replicaClockTolerance{10};

bool isEventStream(const HttpResponseHead &head)
{
    return fieldValue(head.fields, "Content-Type").startsWith("text/event-stream");
}

bool isSuccess(const HttpResponseHead &head)
{
    return head.status >= okStatus && head.status < firstErrorStatus;
}

} // namespace

ResponseAttribution ForwardedCall::attribute(const HttpResponseHead &responseHead)
{
    this->attempt.responseInfo = this->context.dialect.parseResponse(responseHead);
    this->recordAnnouncements();
    const ReplicaConnection &connection = *this->attempt.connection;
    const bool carriedEarlierRequests =
            connection.exchangeCount() > 1 || connection.discardedResponses() > 0;
    return attributeResponse(this->description.requestId, this->attempt.responseInfo.requestId,
                             isSuccess(responseHead), carriedEarlierRequests);
}

void ForwardedCall::recordAnnouncements()
{
    // Also a response to another request comes from the replica at the end of this connection.
    if (this->attempt.responseInfo.isLeaving)
        this->context.fleet.recordLeaving(this->attempt.replica, this->attempt.startMilliseconds);
    // A spoilt response, or one to another request, does not mean that a limit has ended.
    const bool isOwnResponse =
            this->attempt.responseInfo.hasServerStamp
            && this->attempt.responseInfo.requestId == this->description.requestId;
    if (this->attempt.responseInfo.wrongInstance)
        return;
    this->recordColdness(isOwnResponse);
    if (!this->attempt.responseInfo.requestLimit && !isOwnResponse)
        return;
    this->context.fleet.recordLimit(this->attempt.replica, this->attempt.startMilliseconds,
                                    this->attempt.responseInfo.requestLimit);
}

void ForwardedCall::handleHead(const HttpResponseHead &responseHead)
{
    this->attempt.head = responseHead;
    this->recordReplicaActivity();
    this->attempt.isStream = this->route.kind == RouteKind::Stream && this->request.method != "HEAD"
                             && responseHead.status == okStatus && isEventStream(responseHead);
    this->attempt.isInvalidResponse = isSuccess(responseHead)
                                      && (!this->attempt.responseInfo.hasServerStamp
                                          || this->attempt.responseInfo.hasContentCoding
                                          || this->attempt.responseInfo.notExecuted);
    this->context.fleet.placement().recordReachable(this->attempt.replica);
    this->recordLoadReport();
}

void ForwardedCall::recordReplicaActivity()
{
    this->attempt.lastActivity = this->now();
    if (!this->attempt.connection->tunnel())
        this->context.fleet.recordDirectContact();
}

void ForwardedCall::handleBody(const QByteArray &bytes)
{
    this->recordReplicaActivity();
    if (this->attempt.isInvalidResponse) {
        this->handleFailure(ExchangeFailure::Malformed);
        return;
    }
    if (this->attempt.isStream) {
        this->forwardEvents(bytes);
        return;
    }
    this->attempt.body += bytes;
    if (!this->accountResponse())
        this->handleFailure(ExchangeFailure::Malformed);
}

bool ForwardedCall::accountResponse()
{
    const qsizetype bytes = this->delivered.data().size() + this->attempt.bufferedBytes();
    const qsizetype before = std::exchange(this->accountedBytes, bytes);
    return this->context.responseMemory.resize(before, bytes) && bytes <= maximumBufferedResponse;
}

void ForwardedCall::releaseResponseMemory()
{
    const qsizetype before = std::exchange(this->accountedBytes, 0);
    std::ignore = this->context.responseMemory.resize(before, 0);
}

bool ForwardedCall::isRejected() const
{
    const ReplicaResponseInfo &info = this->attempt.responseInfo;
    if (this->attempt.isInvalidResponse)
        return false;
    // Every replica refuses a request without an id, so that its refusal is the answer.
    const bool isFinal =
            this->description.requestId.isEmpty() && this->attempt.head.status == badRequestStatus;
    return info.wrongInstance || (info.notExecuted && !isFinal);
}

void ForwardedCall::handleComplete()
{
    if (!this->deliverHeldEvents())
        return;
    this->attempt.trailing = this->attempt.connection->trailingBytes();
    if (this->awaitTrailingBytes())
        return;
    const bool rejected = this->isRejected();
    const char *fault =
            rejected ? nullptr
                     : faultOf(this->attempt, this->delivered.isStarted(), this->context.dialect);
    this->logAttempt(fault != nullptr ? fault : ReplicaAttempt::complete);
    const std::shared_ptr<const TunnelUse> tunnel = this->attempt.connection->tunnel();
    this->releaseConnection();
    this->context.fleet.placement().callEnded(this->attempt.replica);
    if (rejected) {
        this->handleRejection();
        return;
    }
    if (fault != nullptr) {
        if (this->attempt.head.bodyEndsAtClose)
            this->suspectCrash(tunnel);
        this->context.fleet.placement().recordFailure(this->attempt.replica, this->now());
        this->excludedInstances.push_back(this->attempt.replica);
        this->continueElsewhere(fault);
        return;
    }
    if (this->mayHaveExpiredAtReplica()) {
        this->handleTimeout();
        return;
    }
    if (this->attempt.head.status < firstServerErrorStatus)
        this->clearSuspicionIfSurvived(tunnel);
    else if (this->attempt.head.bodyEndsAtClose)
        this->suspectCrash(tunnel);
    if (this->attempt.isStream) {
        this->finishStream();
        return;
    }
    if (this->attempt.head.status >= firstServerErrorStatus && this->mayRetry()) {
        this->context.fleet.placement().recordFailure(this->attempt.replica, this->now());
        this->excludedInstances.push_back(this->attempt.replica);
        this->placeCall();
        return;
    }
    this->forwardResponse();
}

bool ForwardedCall::awaitTrailingBytes()
{
    const bool mayBeCut = !this->attempt.isStream && !this->attempt.head.bodyEndsAtClose
                          && this->attempt.trailing.isEmpty();
    const qsizetype cutHead = mayBeCut ? findCutHead(this->attempt.body) : -1;
    if (cutHead < 0 || std::exchange(this->attempt.awaitedTrailing, true))
        return false;
    const bool holdsStatusLine = findStatusLine(this->attempt.body.mid(cutHead)) == 0;
    const milliseconds left = this->deadline.remaining(this->now()) - replicaClockTolerance;
    const milliseconds wait = std::min(holdsStatusLine ? retransmissionTime : splitWriteTime, left);
    if (wait.count() <= 0)
        return false;
    this->attempt.activityTimer =
            this->context.timers.after(wait, [this] { this->handleComplete(); });
    return true;
}

bool ForwardedCall::mayHaveExpiredAtReplica() const
{
    return this->attempt.head.bodyEndsAtClose
           && this->deadline.remaining(this->now()) <= replicaClockTolerance;
}

void ForwardedCall::handleFailure(ExchangeFailure reason)
{
    const std::shared_ptr<const TunnelUse> tunnel =
            this->attempt.connection ? this->attempt.connection->tunnel() : nullptr;
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
    this->excludedInstances.push_back(this->attempt.replica);
    Placement &placement = this->context.fleet.placement();
    if (reason == ExchangeFailure::TunnelLost)
        this->context.fleet.recordTunnelFailure(tunnel->endpoint().vm);
    else
        placement.recordFailure(this->attempt.replica, this->now());
    // An unreachable replica does not count against the route's limit of attempts.
    if (reason == ExchangeFailure::Unreachable && this->route.isRepeatable())
        ++this->uncountedRuns;
    if (reason == ExchangeFailure::Closed)
        this->suspectCrash(tunnel);
    else if (reason == ExchangeFailure::Malformed)
        this->suspectCrashUnlessReachable(tunnel);
    this->continueElsewhere(describe(reason));
}

void ForwardedCall::continueElsewhere(const char *reason)
{
    // Without the id of an event that was sent, another replica would send that event again.
    if (this->mayRetry() && this->delivered.canBeContinued() && !this->quarantinedDigest())
        this->placeCall();
    else
        this->fail(ErrorKind::BackendFailed, reason);
}

void ForwardedCall::handleRejection()
{
    --this->possibleRuns;
    ++this->rejections;
    Placement &placement = this->context.fleet.placement();
    if (this->attempt.responseInfo.wrongInstance)
        placement.markReplaced(this->attempt.replica);
    else
        placement.recordRejection(this->attempt.replica, this->now());
    this->excludedInstances.push_back(this->attempt.replica);
    this->placeCall();
}

void ForwardedCall::forwardResponse()
{
    const milliseconds elapsed =
            std::chrono::floor<milliseconds>(this->now() - this->attempt.sentAt);
    this->context.metrics.observe("lacewingmux_replica_answer_seconds", {}, elapsed);
    this->recordCallDuration();
    this->settleReservation();
    this->caller->sendResponse(this->attempt.head.status, this->attempt.head.reason,
                               this->context.dialect.fieldsForCaller(this->attempt.head),
                               this->attempt.body);
    this->end("answered");
}

void ForwardedCall::finishStream()
{
    if (!this->delivered.isStarted()) {
        this->delivered.start();
        this->caller->beginStream(this->attempt.head.status, this->attempt.head.reason,
                                  this->context.dialect.fieldsForCaller(this->attempt.head), {});
    }
    this->recordWriting();
    this->context.fleet.placement().recordPrompt(this->attempt.replica,
                                                 this->description.promptParts);
    this->recordTurnDuration();
    if (!this->isTurn()) {
        this->settleReservation();
        this->caller->endStream();
        this->end("streamed");
        return;
    }
    this->phase = Phase::Storing;
    this->budgetReserved = false;
    this->context.turnStore.store(this->turnRequest, this->request.body, this->delivered.data(),
                                  this->deliveredTokens(),
                                  [weakSelf = this->weak_from_this()](bool durable) {
                                      const auto self = weakSelf.lock();
                                      if (!self || self->phase != Phase::Storing)
                                          return;
                                      if (!durable) {
                                          self->abortResponse(turnNotKept);
                                          return;
                                      }
                                      self->caller->endStream();
                                      self->end("streamed");
                                  });
}

void ForwardedCall::handleDeadline()
{
    if (!this->overdueSince)
        this->overdueSince = this->now();
    // A VM that was paused has yet to read what arrived in time, which takes several turns.
    const bool hasUnreadInput =
            this->attempt.connection && this->attempt.connection->hasUnreadInput();
    if (hasUnreadInput && this->now() - *this->overdueSince < longestOverdueReading) {
        this->deadlineTimer = this->context.timers.after(overdueReadingInterval,
                                                         [this] { this->handleDeadline(); });
        return;
    }
    this->handleTimeout();
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
        this->context.fleet.placement().recordSlowdown(this->attempt.replica, timeoutSlowdown,
                                                       this->now());
        this->fail(ErrorKind::BackendTimeout, "the replica did not answer in time");
        break;
    case Phase::Streaming:
        this->abortResponse("the time is up");
        break;
    case Phase::Storing:
        this->abortResponse(turnNotKept);
        break;
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
    if (!this->attempt.connection)
        return;
    this->logAttempt(outcome);
    this->attempt.activityTimer.cancel();
    this->attempt.connection->abort();
    this->attempt.connection.reset();
    this->context.fleet.placement().callEnded(this->attempt.replica);
}

void ForwardedCall::releaseConnection()
{
    if (!this->attempt.connection)
        return;
    const milliseconds kept =
            this->attempt.responseInfo.keepAliveSeconds
                    ? std::chrono::seconds(*this->attempt.responseInfo.keepAliveSeconds)
                              - keepAliveMargin
                    : defaultIdleTime;
    this->attempt.activityTimer.cancel();
    this->attempt.connection->setReusableUntil(this->now() + kept);
    this->context.fleet.release(this->attempt.replica, this->attempt.startMilliseconds,
                                std::move(this->attempt.connection));
    this->attempt.connection.reset();
}

} // namespace lacewingmux
