#pragma once

#include "lacewingmux_program/events/CallFinished.h"
#include "lacewingmux_program/events/CallStarted.h"

#include <optional>

namespace lacewingmux {

/** The lowest HTTP status that stands for a failure. */
inline constexpr int firstErrorStatus = 400;

/** One call of a program's history: how it began and, once known, its outcome. */
struct RecordedCall
{
    CallStarted start;
    std::optional<CallFinished> finish; ///< empty while the call runs

    /** Tells whether its messages and its answer are part of what later model calls build on. */
    [[nodiscard]] bool extendsHistory() const noexcept
    {
        return this->start.model && this->finish && this->finish->completed
               && this->finish->httpStatus < firstErrorStatus;
    }
};

} // namespace lacewingmux
