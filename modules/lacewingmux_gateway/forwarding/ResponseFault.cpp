#include "lacewingmux_gateway/forwarding/ResponseFault.h"

#include "lacewingmux_gateway/forwarding/ReplicaAttempt.h"

namespace lacewingmux {

namespace {

/** Tells whether the response broke off behind its head. A stream that is resumed may have no event
    left, but then its end must be marked. */
bool brokeOffBehindHead(const ReplicaAttempt &attempt)
{
    if (!attempt.isStream)
        return attempt.head.bodyEndsAtClose && attempt.body.isEmpty();
    return attempt.events == 0 && (attempt.head.bodyEndsAtClose || !attempt.resumesStream);
}

} // namespace

const char *faultOf(const ReplicaAttempt &attempt, bool streamStarted)
{
    if (attempt.isInvalidResponse)
        return "the replica's answer is unusable";
    if (streamStarted && !attempt.isStream)
        return "the replica did not resume the stream";
    if (attempt.isStream && attempt.eventParser.partialBytes() > 0)
        return "the stream ended within an event";
    if (brokeOffBehindHead(attempt))
        return "the answer ended behind its head";
    return nullptr;
}

} // namespace lacewingmux
