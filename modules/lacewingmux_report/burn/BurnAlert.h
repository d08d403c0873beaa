#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** How fast an error budget is being spent, and whether somebody should act. */
enum class BurnAlert : std::uint8_t {
    None,
    Ticket, ///< the budget of the period would be spent well before its end
    Page    ///< at this pace a few hours are left
};

/** Returns "none", "ticket" or "page". */
[[nodiscard]] QString burnAlertName(BurnAlert alert);

} // namespace lacewingmux
