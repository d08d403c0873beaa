#pragma once

#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/PackedBytes.h"
#include "lacewingmux_program/events/SubAgentOpened.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/**
    A call was admitted: its number is claimed and its tokens are reserved. The event is committed
    before the call is dispatched, so that after a takeover the new owner knows that the call may
    have run.
*/
struct CallStarted
{
    AgentIndex agent = 0;
    std::uint32_t number = 0;
    QByteArray digest; ///< SHA-256 of the content of the call
    QString route;
    QString keyId;
    bool model = false; ///< whether a model engine runs it, so that it extends the history
    bool idempotent = true;
    std::int64_t reservedTokens = 0;
    std::int64_t maxOutputTokens = 0; ///< limit sent to the engine
    QByteArray method;
    QByteArray path;
    std::vector<HttpHeader> headers;
    PackedBytes body; ///< the caller's JSON for a model call, otherwise the service's body
    EventTime at;

    friend bool operator==(const CallStarted &, const CallStarted &) = default;
};

} // namespace lacewingmux
