#pragma once

#include "lacewingmux_gateway/calls/PromptPart.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The metadata of a caller's request, decoded from its header fields. */
struct CallDescription
{
    QByteArray requestId; ///< unique for each attempt of the caller
    QByteArray host;      ///< without a port
    QByteArray key;       ///< the credential; never forwarded to replicas
    std::optional<std::chrono::milliseconds> timeLeft; ///< how long the caller will wait

    QByteArray program;                      ///< empty outside a program
    QByteArray session;                      ///< groups consecutive turns
    std::optional<std::int64_t> tokenBudget; ///< total tokens that the program may generate
    QByteArray previousTurn;                 ///< request id of the turn that this one follows

    std::int64_t maximumOutputTokens = 0;
    std::vector<PromptPart> promptParts; ///< in order; the last one is specific to this request
    /** Until the program should be finished; negative once that time has passed. */
    std::optional<std::chrono::milliseconds> programTimeLeft;
    QByteArray lastEventId; ///< of a stream that the caller resumes after it; otherwise empty
    QByteArray affinityKey; ///< identifies the object that the request concerns

    /** Tells whether the request continues a stream of which the caller has events already. */
    [[nodiscard]] bool resumesStream() const noexcept
    {
        return !this->lastEventId.isEmpty();
    }
};

} // namespace lacewingmux
