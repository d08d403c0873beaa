#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/errors/Executed.h"
#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/PackedBytes.h"
#include "lacewingmux_program/events/SubAgentOpened.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** A call has its final outcome: a complete response, or a failure that is never retried. */
struct CallFinished
{
    AgentIndex agent = 0;
    std::uint32_t number = 0;
    bool completed = false;
    ErrorKind error = ErrorKind::InternalError; ///< only valid if not completed
    QString message;
    Executed executed = Executed::Yes;
    int httpStatus = 0;
    std::vector<HttpHeader> headers;
    PackedBytes body;
    std::int64_t chargedTokens = 0; ///< at most the reservation plus the unreserved budget
    std::int64_t prefixTokens = 0;  ///< tokens of the agent's whole history after this call
    QString replica;
    QString zone;
    EventTime at;

    friend bool operator==(const CallFinished &, const CallFinished &) = default;
};

} // namespace lacewingmux
