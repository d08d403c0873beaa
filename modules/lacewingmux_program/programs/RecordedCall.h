#pragma once

#include "lacewingmux_program/events/CallFinished.h"
#include "lacewingmux_program/events/CallStarted.h"

#include <optional>

namespace lacewingmux {

/** The lowest HTTP status that indicates an error. */
inline constexpr int firstErrorStatus = 400;

/** One call of a program's history: its start and, once known, its outcome. */
struct RecordedCall
{
    CallStarted start;
    std::optional<CallFinished> finish; ///< empty while the call runs

    /** Returns whether later model calls include its messages and its response. */
    [[nodiscard]] bool extendsHistory() const noexcept
    {
        return this->start.model && this->finish && this->finish->completed
               && this->finish->httpStatus < firstErrorStatus;
    }
};

} // namespace lacewingmux
