#pragma once

#include <QByteArray>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** Whether a turn may run. */
enum class TurnOutcome : std::uint8_t {
    Ready,           ///< the history is known and the tokens are reserved
    BudgetExhausted, ///< the program's budget does not hold another turn
    UnknownTurn,     ///< certainly no turn of the team has the name
    Unavailable      ///< too few records VMs answered to be certain
};

/** The answer to a TurnRequest. */
struct TurnAdmission
{
    TurnOutcome outcome = TurnOutcome::Unavailable;
    QByteArray history;                      ///< inputs and outputs of the chain, oldest first
    std::chrono::milliseconds retryAfter{0}; ///< when it may work, if unavailable
};

} // namespace lacewingmux
