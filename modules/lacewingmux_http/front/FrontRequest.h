#pragma once

#include "lacewingmux_program/requests/OwnerRequest.h"

namespace lacewingmux {

/** A caller's request as the front understands it, before the key is looked at. */
struct FrontRequest
{
    OwnerRequest request;
    bool open = false;   ///< whether its route serves callers without a key
    bool charged = true; ///< whether it takes a token of the team's rate
};

} // namespace lacewingmux
