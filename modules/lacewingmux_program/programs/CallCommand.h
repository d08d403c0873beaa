#pragma once

#include "lacewingmux_program/events/SubAgentOpened.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** One call as its caller requested it, validated against the route's rules. */
struct CallCommand
{
    AgentIndex agent = 0;
    std::uint32_t number = 0; ///< from 1; 0 outside a program
    QByteArray digest;        ///< SHA-256 of the content; identical for every retry
    QString route;
    QString keyId;
    bool model = false;
    bool idempotent = true;
    std::int64_t newInputTokens = 0; ///< upper bound of the tokens of the new messages
    std::int64_t maxOutputTokens = 0;
    QByteArray method;
    QByteArray path;
    std::vector<HttpHeader> headers;
    QByteArray body;
};

} // namespace lacewingmux
