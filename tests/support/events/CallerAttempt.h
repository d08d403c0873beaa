#pragma once

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>

/** How one attempt of a caller ended. */
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< a whole answer of status 2xx
    Refused,  ///< an error body of the system
    Broken    ///< the connection ended without a whole answer
};

/** One HTTP request that a test's caller sent, and what came back. */
struct CallerAttempt
{
    QString team;
    QString program; ///< empty outside a program
    std::uint32_t callNumber = 0;
    QString marker; ///< text that is in this request alone and comes back in its answer
    bool idempotent = true;
    std::chrono::steady_clock::time_point sent;
    std::chrono::steady_clock::time_point ended;
    AttemptOutcome outcome = AttemptOutcome::Broken;
    int httpStatus = 0;
    QString errorKind;
    QString executed; ///< "no", "unknown" or "yes" of a refusal
    std::chrono::milliseconds retryAfter{0};
    QByteArray body;
};
