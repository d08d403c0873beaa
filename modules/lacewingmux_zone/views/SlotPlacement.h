#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"

#include <optional>

namespace lacewingmux {

/** The owner and the backup of a slot. A view with one VM has no backup. */
struct SlotPlacement
{
    std::optional<VmIncarnation> owner;
    std::optional<VmIncarnation> backup;

    friend bool operator==(const SlotPlacement &, const SlotPlacement &) = default;
};

} // namespace lacewingmux
