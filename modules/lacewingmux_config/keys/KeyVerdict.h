#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** What is known of a presented key. */
enum class KeyStatus : std::uint8_t { Valid, Unknown, Withdrawn };

/** The verdict about a presented key; team and key id are empty for an unknown one. */
struct KeyVerdict
{
    KeyStatus status = KeyStatus::Unknown;
    QString team;
    QString keyId;
};

} // namespace lacewingmux
