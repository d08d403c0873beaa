#pragma once

#include <cstdint>

namespace lacewingmux {

/** One part of a prompt. Requests may share parts; engines cache them as a prefix, in order. */
struct PromptPart
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

} // namespace lacewingmux
