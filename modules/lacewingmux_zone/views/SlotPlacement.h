#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"

#include <optional>

namespace lacewingmux {

/** Who owns a slot and who backs it up. The backup is absent in a zone view of one VM. */
struct SlotPlacement
{
    std::optional<VmIncarnation> owner;
    std::optional<VmIncarnation> backup;

    friend bool operator==(const SlotPlacement &, const SlotPlacement &) = default;
};

} // namespace lacewingmux
