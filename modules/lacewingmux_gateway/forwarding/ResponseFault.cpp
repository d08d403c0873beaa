#include "lacewingmux_gateway/forwarding/ResponseFault.h"

#include "lacewingmux_gateway/forwarding/ReplicaAttempt.h"

namespace lacewingmux {

const char *faultOf(const ReplicaAttempt &attempt, bool streamStarted)
{
    if (attempt.isInvalidResponse)
        return "the replica's answer is unusable";
    if (streamStarted && !attempt.isStream)
        return "the replica did not resume the stream";
    if (attempt.isStream && attempt.eventParser.partialBytes() > 0)
        return "the stream ended within an event";
    return nullptr;
}

} // namespace lacewingmux
