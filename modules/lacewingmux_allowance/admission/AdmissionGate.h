#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"

#include <QString>

#include <chrono>
#include <functional>

namespace lacewingmux {

/** The decision of an AdmissionGate about one request. */
struct AdmissionDecision
{
    bool admitted = false;
    ErrorKind refusal = ErrorKind::RateLimited; ///< valid only when not admitted
    std::chrono::milliseconds retryAfter{0};    ///< time until the team's next token
};

/** Admits requests at the front, the VM that took the caller's connection, within the team's
    fleet-wide rate and burst limits. */
class AdmissionGate
{
public:
    AdmissionGate() = default;
    virtual ~AdmissionGate() = default;
    AdmissionGate(const AdmissionGate &) = delete;
    AdmissionGate &operator=(const AdmissionGate &) = delete;

    /** Decides whether to admit one request of the team. The callback may run synchronously. */
    virtual void admit(const QString &team,
                       std::function<void(const AdmissionDecision &)> callback) = 0;
};

} // namespace lacewingmux
