#pragma once

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/** Whether a turn may run. */
enum class TurnOutcome : std::uint8_t {
    Ready,           ///< the history is known and the tokens are reserved
    BudgetExhausted, ///< the program's budget does not cover another turn
    UnknownTurn,     ///< it is certain that the team has no turn with the id
    Unavailable,     ///< too few records VMs responded to be certain
    HistoryTooLong   ///< the history is longer than this VM can hold
};

/** The response to a TurnRequest. */
struct TurnAdmission
{
    TurnOutcome outcome = TurnOutcome::Unavailable;
    QByteArray history;                      ///< inputs and outputs of previous turns, oldest first
    std::chrono::milliseconds retryAfter{0}; ///< if unavailable
    /** Where the turn store keeps the history, if it differs from where it keeps the program. */
    std::optional<int> historyLocation = std::nullopt;
};

} // namespace lacewingmux
