#pragma once

#include <cstdint>

namespace lacewingmux {

/** The kinds of aggregate that have one owner and one backup within an availability zone. */
enum class AggregateKind : std::uint8_t {
    Program,       ///< an agent program: order, history, budget and claims of its calls
    RequestClaim,  ///< a non-idempotent request outside a program
    TeamAllowance, ///< a team's rate and burst within one availability zone
    PowerAllowance ///< a zone's part of the site's power cap
};

} // namespace lacewingmux
