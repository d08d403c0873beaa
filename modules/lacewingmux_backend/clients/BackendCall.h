#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux {

/** One call to be sent to a backend server. */
struct BackendCall
{
    QUrl server;       ///< scheme, address and port of the replica
    QByteArray method; ///< HTTP method
    QByteArray path;   ///< path and query
    std::vector<HttpHeader> headers;
    QByteArray body;
    QString requestId;
    QString program;     ///< empty outside a program
    int priority = 0;    ///< for an engine's waiting line; higher goes first
    bool stream = false; ///< whether events are passed on as they arrive; engines only
    bool idempotent = true;
    std::int64_t maxOutputTokens = 0; ///< bound written into an engine's request; 0 for none
    std::int64_t maxResponseBytes = std::int64_t{16} * 1024 * 1024;
    std::chrono::milliseconds timeout{120000}; ///< for the whole exchange
};

} // namespace lacewingmux
