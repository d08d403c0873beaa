#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** What is known about a presented key. */
enum class KeyState : std::uint8_t { Accepted, Withdrawn, Unknown };

/** The state of a presented key and, when it is accepted, whose it is. */
struct KeyVerdict
{
    KeyState state = KeyState::Unknown;
    QString team;
    QString keyId;
};

} // namespace lacewingmux
