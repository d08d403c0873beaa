#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/errors/Executed.h"

#include <QJsonObject>
#include <QString>

#include <chrono>
#include <stdexcept>

namespace lacewingmux {

/**
    The one exception type of the project, also used as a value where a call fails later.

    It carries a kind from the closed list, a message for a person, whether the request took
    effect, and how long to wait before coming back.
*/
class LacewingmuxError : public std::runtime_error
{
public:
    /** Makes an error with the kind's default time to come back. */
    LacewingmuxError(ErrorKind errorKind, const QString &text,
                     Executed executedState = Executed::No);

    /** Makes an error with its own time to come back. */
    LacewingmuxError(ErrorKind errorKind, const QString &text, Executed executedState,
                     std::chrono::milliseconds comeBackAfter);

    [[nodiscard]] ErrorKind kind() const noexcept
    {
        return this->errorKind;
    }
    [[nodiscard]] Executed executed() const noexcept
    {
        return this->executedState;
    }
    [[nodiscard]] QString message() const;
    [[nodiscard]] int httpStatus() const noexcept;

    /** Returns how long the caller should wait; zero when a retry makes no sense. */
    [[nodiscard]] std::chrono::milliseconds retryAfter() const noexcept
    {
        return this->comeBackAfter;
    }

    /** Returns {"error": {"kind", "message", "executed", "retryAfterMs"}}. */
    [[nodiscard]] QJsonObject toJson() const;

private:
    ErrorKind errorKind;
    Executed executedState;
    std::chrono::milliseconds comeBackAfter;
};

/** Returns "no", "unknown" or "yes". */
[[nodiscard]] QString executedName(Executed executed);

} // namespace lacewingmux
