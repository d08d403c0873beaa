#pragma once

namespace lacewingmux {

/** Where the operators' records stand in the platform's store. */
struct RecordKeys
{
    static constexpr const char *configuration = "lacewingmux/configuration";
    static constexpr const char *keyRing = "lacewingmux/keys";
};

} // namespace lacewingmux
