#pragma once

#include <cstdint>

namespace lacewingmux {

/** Whether relays serve this VM with the store's contents. */
enum class RelayState : std::uint8_t {
    Served,    ///< at least one relay sends recent data
    NotServed, ///< no relay can be used; nothing is known about the store
    StoreLost  ///< the relays are reachable, but have lost the store
};

} // namespace lacewingmux
