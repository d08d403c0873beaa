#pragma once

#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** What became of a compare-and-swap. */
enum class CompareAndSwapOutcome : std::uint8_t {
    Applied,
    Conflict, ///< the record had another revision; current holds it
    NotSent,  ///< the store could not be reached or the budget is spent: certainly not applied
    Unknown   ///< sent, and the reply was lost: it may have been applied
};

/** The outcome and, where the store told, the record as it now stands. */
struct CompareAndSwapResult
{
    CompareAndSwapOutcome outcome = CompareAndSwapOutcome::NotSent;
    std::optional<StoreRecord> current;
};

} // namespace lacewingmux
