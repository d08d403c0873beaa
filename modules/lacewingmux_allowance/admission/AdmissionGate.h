#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"

#include <QString>

#include <chrono>
#include <functional>

namespace lacewingmux {

/** The answer of an AdmissionGate. */
struct AdmissionDecision
{
    bool admitted = false;
    ErrorKind refusal = ErrorKind::RateLimited; ///< meaningful when not admitted
    std::chrono::milliseconds retryAfter{0};    ///< when the team's next token is due
};

/** Admits requests of teams at the front, under the team's rate and burst over the whole fleet. */
class AdmissionGate
{
public:
    AdmissionGate() = default;
    virtual ~AdmissionGate() = default;
    AdmissionGate(const AdmissionGate &) = delete;
    AdmissionGate &operator=(const AdmissionGate &) = delete;

    /** Decides about one request of the team; may call back before it returns. */
    virtual void admit(const QString &team,
                       std::function<void(const AdmissionDecision &)> callback) = 0;
};

} // namespace lacewingmux
