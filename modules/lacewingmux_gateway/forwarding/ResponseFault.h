#pragma once

namespace lacewingmux {

struct CallDialect;
struct ReplicaAttempt;

/** Returns why a complete response must not be passed on as a whole one, for logs and error
    responses; null if it may be. The caller of the response has been sent the beginning of a stream
    if streamStarted is true. */
[[nodiscard]] const char *faultOf(const ReplicaAttempt &attempt, bool streamStarted,
                                  const CallDialect &dialect);

} // namespace lacewingmux
