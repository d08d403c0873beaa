#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"

#include <QString>

#include <chrono>

namespace lacewingmux {

struct BackendResponse;
struct DispatchedCall;

/** Returns the result of a call that a replica answered whole. */
[[nodiscard]] DispatchResult completedResult(const BackendResponse &response);

/** Returns the result of a call that failed. A zero time to come back means the kind's default. */
[[nodiscard]] DispatchResult failedResult(ErrorKind kind, Executed executed, const QString &message,
                                          std::chrono::milliseconds retryAfter = {});

/** Returns how a lost, timed out or wrong answer ends its call when it isn't sent again. */
[[nodiscard]] DispatchResult backendFailureResult(const BackendResponse &response, bool idempotent);

/** Tells whether a status says that another replica may do better. */
[[nodiscard]] bool isTransientStatus(int httpStatus);

/** Returns the call as it goes to its replica. */
[[nodiscard]] BackendCall backendCallFor(const DispatchedCall &call, std::int64_t maxResponseBytes);

} // namespace lacewingmux
