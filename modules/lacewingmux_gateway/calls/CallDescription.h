#pragma once

#include "lacewingmux_gateway/calls/PromptPart.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** What a caller's request says of itself, decoded from its header fields. */
struct CallDescription
{
    QByteArray requestId;                              ///< one for each attempt of the caller
    QByteArray host;                                   ///< without a port
    QByteArray key;                                    ///< the credential; never passed on
    std::optional<std::chrono::milliseconds> timeLeft; ///< how long the caller will wait

    QByteArray program;                      ///< empty outside a program
    QByteArray session;                      ///< one line of turns
    std::optional<std::int64_t> tokenBudget; ///< tokens that the program may generate in all
    QByteArray previousTurn;                 ///< request id of the turn that this one continues

    std::int64_t maximumOutputTokens = 0;
    std::vector<PromptPart> promptParts; ///< in order; the last one is the request's own
    QByteArray affinityKey;              ///< names the object that the request is about
};

} // namespace lacewingmux
