#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"

#include <QString>

#include <chrono>

namespace lacewingmux {

struct BackendResponse;
struct DispatchedCall;

/** Returns the result of a call whose complete response was received. */
[[nodiscard]] DispatchResult completedResult(const BackendResponse &response);

/** Returns the result of a failed call. A zero retryAfter means the default of the error kind. */
[[nodiscard]] DispatchResult failedResult(ErrorKind kind, Executed executed, const QString &message,
                                          std::chrono::milliseconds retryAfter = {});

/** Returns the result of a call that is not retried after its response was lost, timed out or
    carried another request's id. */
[[nodiscard]] DispatchResult backendFailureResult(const BackendResponse &response, bool idempotent);

/** Returns whether the status is one after which another replica may succeed. */
[[nodiscard]] bool isTransientStatus(int httpStatus);

/** Returns the call in the form that is sent to its replica. */
[[nodiscard]] BackendCall backendCallFor(const DispatchedCall &call, std::int64_t maxResponseBytes);

} // namespace lacewingmux
