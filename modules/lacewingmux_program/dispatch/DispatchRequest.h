#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux {

/** One call that is admitted to run on a backend server, with its scheduling parameters. */
struct DispatchRequest
{
    QString team;
    double teamWeight = 1;
    QString keyId;
    QString rootProgram; ///< scheduling unit; empty outside a program
    QString program;     ///< agent whose prefix the call extends; empty outside a program
    std::uint32_t callNumber = 0;
    std::int64_t attainedTokens = 0; ///< tokens the root program has used so far
    std::int64_t prefixTokens = 0;   ///< estimated tokens of history before this call
    std::int64_t maxOutputTokens = 0;

    QString route;
    bool idempotent = true; ///< whether it may be retried on another replica
    /**
        Names the call at backend servers and in logs. It is the same for all retries of a call of
        a program or of a request with an idempotency key.
    */
    QString requestId;
    /** Of route, method, path and body; identifies requests that crash servers, for quarantine. */
    QByteArray contentDigest;
    QByteArray method;
    QByteArray path;
    std::vector<HttpHeader> headers;
    QByteArray body;
    bool stream = false;
    std::chrono::milliseconds queueTimeout{30000};
    std::chrono::milliseconds runTimeout{120000};
    /** When the owner decided to run the call, before it was journaled. Between that and the
       dispatch the owner may have been paused, and replaced meanwhile. */
    TimerService::SteadyTime decidedAt;
};

} // namespace lacewingmux
