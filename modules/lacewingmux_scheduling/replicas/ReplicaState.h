#pragma once

#include <cstdint>

namespace lacewingmux {

/** Whether a replica may receive new calls; only a serving one may. */
enum class ReplicaState : std::uint8_t { Serving, Leaving, Broken, Quarantined };

} // namespace lacewingmux
