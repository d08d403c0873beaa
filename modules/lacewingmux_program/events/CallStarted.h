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
    A call was cleared to run: its number is claimed and its tokens are reserved. Committed before
    the call is dispatched, so whoever takes over knows that it may have run.
*/
struct CallStarted
{
    AgentIndex agent = 0;
    std::uint32_t number = 0;
    QByteArray digest; ///< SHA-256 over the content of the call
    QString route;
    QString keyId;
    bool model = false; ///< whether a model engine answers it, so that it extends the history
    bool idempotent = true;
    std::int64_t reservedTokens = 0;
    std::int64_t maxOutputTokens = 0; ///< bound sent to the engine
    QByteArray method;
    QByteArray path;
    std::vector<HttpHeader> headers;
    PackedBytes body; ///< of a model call the caller's JSON, else the body for the service
    EventTime at;

    friend bool operator==(const CallStarted &, const CallStarted &) = default;
};

} // namespace lacewingmux
