#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/errors/Executed.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux {

/** How a dispatched call ended. */
struct DispatchResult
{
    bool completed = false; ///< whether a complete response arrived; otherwise error is set
    ErrorKind error = ErrorKind::InternalError;
    QString errorMessage;
    Executed executed = Executed::No; ///< for a call that did not complete
    std::chrono::milliseconds retryAfter{0};

    int httpStatus = 0;
    std::vector<HttpHeader> headers;
    QByteArray body; ///< the complete response, also if it was streamed
    std::int64_t inputTokens = 0;
    std::int64_t cachedTokens = 0; ///< input tokens served from the replica's prefix cache
    std::int64_t outputTokens = 0;
    QString replica;
    QString zone;
    std::chrono::microseconds queueTime{0};
    std::chrono::microseconds runTime{0};
};

} // namespace lacewingmux
