#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"

#include <QString>

#include <chrono>
#include <optional>

namespace lacewingmux {

/** The answer that belongs to one kind of error. */
struct ErrorAnswer
{
    ErrorKind kind;
    const char *name; ///< the name callers see, in lower camel case
    int httpStatus;
    bool retryable;                              ///< whether the same request may succeed later
    std::chrono::milliseconds defaultRetryAfter; ///< zero when a retry makes no sense
};

/** Returns the answer for the kind. */
[[nodiscard]] const ErrorAnswer &answerFor(ErrorKind kind) noexcept;

/** Returns the kind with the given name, or nothing. */
[[nodiscard]] std::optional<ErrorKind> errorKindFromName(const QString &name);

} // namespace lacewingmux
