#include "lacewingmux_gateway/forwarding/ResponseFault.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/ReplicaAttempt.h"
#include "lacewingmux_gateway/http/ResponseDecoder.h"
#include "lacewingmux_gateway/http/ResponseSearch.h"
#include "lacewingmux_gateway/http/StatusLine.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

namespace lacewingmux {

namespace {

constexpr int maximumQuotedResponses = 64; // bounds the work for a body that quotes many responses

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

/** Tells whether the response with which the bytes begin ends behind them; or with them, and
   answers a request that the connection of the attempt has carried. */
bool reachesEnd(const QByteArray &bytes, const ReplicaAttempt &attempt, const CallDialect &dialect)
{
    ResponseDecoder decoder(false);
    decoder.append(bytes);
    if (decoder.state() < DecodeState::Body)
        return true;
    const bool endsBehind = decoder.state() == DecodeState::Body && !decoder.head().bodyEndsAtClose;
    if (endsBehind || !decoder.takeTrailingBytes().isEmpty())
        return endsBehind;
    const QByteArray id = dialect.parseResponse(decoder.head()).requestId;
    return !id.isEmpty() && attempt.connection && !attempt.connection->distinguishes(id);
}

/** Tells whether the head is that of a replica's response. */
bool isReplicas(const HttpResponseHead &head, const CallDialect &dialect)
{
    const ReplicaResponseInfo info = dialect.parseResponse(head);
    return info.hasServerStamp || !info.requestId.isEmpty();
}

/** Returns the position, at or behind the given one, at which the head of a replica's response
    begins within the bytes; -1 if none does. */
qsizetype findReplicaResponse(const QByteArray &bytes, const CallDialect &dialect,
                              qsizetype from = 0)
{
    return findResponse(
            bytes, [&dialect](const HttpResponseHead &head) { return isReplicas(head, dialect); },
            from);
}

/** Tells whether the beginning of a head shows that it is that of a replica's response. Its last
    line may be cut in a value or in a name. */
bool isReplicasCutHead(const QByteArray &beginning, const CallDialect &dialect)
{
    const QByteArray lines = beginning.endsWith('\r') ? beginning.chopped(1) : beginning;
    const QByteArray wholeLines = lines.left(lines.lastIndexOf("\r\n") + 2);
    for (const QByteArray &completed : {lines + "x\r\n\r\n", wholeLines + "\r\n"}) {
        if (findResponse(completed,
                         [&dialect](const auto &head) { return isReplicas(head, dialect); })
            == 0)
            return true;
    }
    return false;
}

/** Returns the lines of a head from its status line to its last field, if something else than an
    empty line follows them; otherwise nothing. */
QByteArray headWithoutEnd(const QByteArray &body, qsizetype statusLine)
{
    qsizetype lineEnd = body.indexOf("\r\n", statusLine);
    while (lineEnd >= 0) {
        const qsizetype start = lineEnd + 2;
        lineEnd = body.indexOf("\r\n", start);
        if (lineEnd == start)
            return {};
        const QByteArrayView line =
                QByteArrayView(body).sliced(start, (lineEnd < 0 ? body.size() : lineEnd) - start);
        if (line.indexOf(':') <= 0)
            return body.mid(statusLine, start - statusLine);
    }
    return {};
}

/** Tells whether the body holds a head without its end that answers a request which the connection
    has carried: the empty line was read as the end of a chunk, and the chunks of the other response
    as those of this one. */
bool holdsHeadWithoutEnd(const ReplicaAttempt &attempt, const CallDialect &dialect)
{
    const auto isCarried = [&](const HttpResponseHead &head) {
        const QByteArray id = dialect.parseResponse(head).requestId;
        return !id.isEmpty() && attempt.connection && !attempt.connection->distinguishes(id);
    };
    qsizetype start = findStatusLine(attempt.body);
    for (int found = 0; start >= 0 && found < maximumQuotedResponses; ++found) {
        const QByteArray head = headWithoutEnd(attempt.body, start);
        if (!head.isEmpty() && findResponse(head + "\r\n", isCarried) == 0)
            return true;
        const qsizetype next = findStatusLine(QByteArrayView(attempt.body).sliced(start + 1));
        start = next < 0 ? -1 : start + 1 + next;
    }
    return false;
}

/** Tells whether another response may have been read as part of the body, because the body ends
    with its connection, or was cut and filled up by the beginning of the other response. */
bool holdsOtherResponse(const ReplicaAttempt &attempt, const CallDialect &dialect)
{
    const QByteArray &body = attempt.body;
    const QByteArray text = attempt.trailing.isEmpty() ? body : body + attempt.trailing;
    qsizetype start = findReplicaResponse(text, dialect);
    for (int found = 0; start >= 0 && start < body.size() && found < maximumQuotedResponses;
         ++found) {
        if (attempt.head.bodyEndsAtClose || reachesEnd(body.mid(start), attempt, dialect))
            return true;
        start = findReplicaResponse(text, dialect, start + 1);
    }
    if (holdsHeadWithoutEnd(attempt, dialect))
        return true;
    const qsizetype cutHead = findCutHead(body, attempt.trailing);
    return cutHead >= 0
           && (!attempt.trailing.isEmpty() || isReplicasCutHead(body.mid(cutHead), dialect));
}

} // namespace

const char *faultOf(const ReplicaAttempt &attempt, bool streamStarted, const CallDialect &dialect)
{
    if (attempt.isInvalidResponse)
        return "the replica's answer is unusable";
    if (promisesNotRun(attempt.head.status) && !attempt.responseInfo.notExecuted)
        return "the replica refused the call without stating that it has not run it";
    if (streamStarted && !attempt.isStream)
        return "the replica did not resume the stream";
    if (attempt.isStream && attempt.eventParser.foundOtherResponse())
        return "another answer follows within the replica's answer";
    if (attempt.isStream && attempt.eventParser.isOutOfSequence())
        return "an event does not follow those before it";
    if (attempt.isStream && attempt.eventParser.partialBytes() > 0)
        return "the stream ended within an event";
    if (brokeOffBehindHead(attempt))
        return "the answer ended behind its head";
    if (holdsOtherResponse(attempt, dialect))
        return "another answer follows in the body";
    return nullptr;
}

} // namespace lacewingmux
