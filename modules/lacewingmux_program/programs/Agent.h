#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_program/events/SubAgentOpened.h"
#include "lacewingmux_program/programs/EngineHistory.h"
#include "lacewingmux_program/programs/RecordedCall.h"

#include <QString>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The root or a sub-agent of a program: its calls in the order they were issued. */
struct Agent
{
    QString id; ///< text form of a MintedId
    AgentIndex parent = 0;
    std::vector<RecordedCall> calls; ///< call n at index n - 1; only the last may be running
    bool nextMayHaveRun = false;   ///< whether a failed run of the next call may have had an effect
    std::int64_t prefixTokens = 0; ///< tokens of the history that a model call extends
    std::optional<ErrorKind> endReason; ///< set once the agent has ended
    bool memoryReleased = false;        ///< confirmed by the engines after the end

    mutable EngineHistory engineHistory; ///< cache derived from calls; not part of the state

    /** Returns whether the last call has no outcome yet. */
    [[nodiscard]] bool isRunning() const noexcept
    {
        return !this->calls.empty() && !this->calls.back().finish.has_value();
    }

    /** Returns the number that the next new call must have. */
    [[nodiscard]] std::uint32_t nextNumber() const noexcept
    {
        return static_cast<std::uint32_t>(this->calls.size()) + 1;
    }

    /** Returns the call with the number, or null. */
    [[nodiscard]] const RecordedCall *call(std::uint32_t number) const noexcept
    {
        if (number == 0 || number > this->calls.size())
            return nullptr;
        return &this->calls[number - 1];
    }
};

} // namespace lacewingmux
