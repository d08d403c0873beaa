#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** A call to a backend server. */
struct BackendCall
{
    QUrl server;       ///< scheme, IP address and port of the replica
    QByteArray method; ///< HTTP method
    QByteArray path;   ///< path and query
    std::vector<HttpHeader> headers;
    QByteArray body;
    QString requestId;
    QString program;     ///< empty when the call belongs to no program
    int priority = 0;    ///< in an engine's queue; higher values run first
    bool stream = false; ///< whether events are passed on as they arrive; engines only
    bool idempotent = true;
    std::int64_t maxOutputTokens = 0; ///< limit set in an engine's request; 0 for none
    std::int64_t maxResponseBytes = std::int64_t{16} * 1024 * 1024;
    std::chrono::milliseconds timeout{120000}; ///< of the whole exchange
    /** The request is not written at or after this time, even if its connection is established
        then. The permission to send it may have expired while the process was paused. */
    std::optional<TimerService::SteadyTime> sendBefore;
};

} // namespace lacewingmux
