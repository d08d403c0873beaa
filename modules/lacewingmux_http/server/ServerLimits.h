#pragma once

#include <QtGlobal>

#include <chrono>

namespace lacewingmux {

/** The bounds that a CallerServer holds against its callers. */
struct ServerLimits
{
    int connections = 4096;                ///< open at once; more are refused with 503
    int refusedConnections = 256;          ///< refused and not yet closed; more are cut off
    int pipelinedRequests = 16;            ///< of one connection; more stay unread
    qint64 headBytes = 65536;              ///< request line and headers
    qint64 bodyBytes = 8388608;            ///< body of one request
    qint64 unsentAnswerBytes = 67108864;   ///< left unread by a caller when more is to be written
    std::chrono::milliseconds idle{75000}; ///< connection without a request
    std::chrono::milliseconds slowRequest{30000};   ///< from a request's first byte to its last
    std::chrono::milliseconds stalledAnswer{30000}; ///< no byte of an unsent answer was taken
    std::chrono::milliseconds linger{
            2000}; ///< from the last byte or a refusal to the end of a connection
};

} // namespace lacewingmux
