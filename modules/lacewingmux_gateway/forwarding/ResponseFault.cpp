#include "lacewingmux_gateway/forwarding/ResponseFault.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/ReplicaAttempt.h"
#include "lacewingmux_gateway/http/ResponseSearch.h"

namespace lacewingmux {

namespace {

/** Tells whether the status promises the caller that the call has not run. That of the wrong
    instance is not among them, as it states so itself. */
bool promisesNotRun(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    return status == requestTimeout || status == tooManyRequests || status == serviceUnavailable;
}

/** Tells whether the response broke off behind its head. A stream that is resumed may have no event
    left, but then its end must be marked. A failure needs no body. */
bool brokeOffBehindHead(const ReplicaAttempt &attempt)
{
    constexpr int firstFailureStatus = 300;
    if (!attempt.isStream)
        return attempt.head.bodyEndsAtClose && attempt.body.isEmpty()
               && attempt.head.status < firstFailureStatus;
    return attempt.events == 0 && (attempt.head.bodyEndsAtClose || !attempt.resumesStream);
}

} // namespace

qsizetype findReplicaResponse(const QByteArray &bytes, const CallDialect &dialect)
{
    return findResponse(bytes, [&dialect](const HttpResponseHead &head) {
        const ReplicaResponseInfo info = dialect.parseResponse(head);
        return info.hasServerStamp || !info.requestId.isEmpty();
    });
}

const char *faultOf(const ReplicaAttempt &attempt, bool streamStarted, const CallDialect &dialect)
{
    if (attempt.isInvalidResponse)
        return "the replica's answer is unusable";
    if (promisesNotRun(attempt.head.status) && !attempt.responseInfo.notExecuted)
        return "the replica refused the call without stating that it has not run it";
    if (streamStarted && !attempt.isStream)
        return "the replica did not resume the stream";
    if (attempt.isStream && attempt.eventParser.partialBytes() > 0)
        return "the stream ended within an event";
    if (brokeOffBehindHead(attempt))
        return "the answer ended behind its head";
    // Nothing else parts another response from a body that ends with its connection.
    if (attempt.head.bodyEndsAtClose && findReplicaResponse(attempt.body, dialect) >= 0)
        return "another answer follows in the body";
    return nullptr;
}

} // namespace lacewingmux
