#pragma once

#include <cstdint>

namespace lacewingmux::soak {

/** The kinds of calls, each with a route of its own. */
enum class CallKind : std::uint8_t {
    Turn,            ///< a stream that is kept as history and may not be resumed
    ResumableStream, ///< a stream that may go on at another replica
    OnceOnly,        ///< a plain call that may run once
    Repeatable       ///< a plain call that may run again
};

[[nodiscard]] constexpr const char *nameOf(CallKind kind) noexcept
{
    constexpr const char *names[]{"turn", "resumable", "once", "repeatable"};
    return names[static_cast<int>(kind)];
}

[[nodiscard]] constexpr bool isStream(CallKind kind) noexcept
{
    return kind == CallKind::Turn || kind == CallKind::ResumableStream;
}

[[nodiscard]] constexpr bool mayRunAgain(CallKind kind) noexcept
{
    return kind == CallKind::ResumableStream || kind == CallKind::Repeatable;
}

} // namespace lacewingmux::soak
