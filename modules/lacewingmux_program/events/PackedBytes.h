#pragma once

#include <QByteArray>

namespace lacewingmux {

/**
    Bytes of a message or answer as a program keeps them: compressed when that makes them shorter,
    because a history is read far less often than it is held.
*/
class PackedBytes
{
public:
    PackedBytes() = default;

    /** Takes bytes and compresses them when they are long enough to gain from it. */
    [[nodiscard]] static PackedBytes pack(const QByteArray &bytes);

    /** Takes bytes in the form that stored() and isCompressed() gave. */
    [[nodiscard]] static PackedBytes fromStored(const QByteArray &stored, bool compressed);

    /** Returns the bytes as they were given to pack. */
    [[nodiscard]] QByteArray unpack() const;

    [[nodiscard]] const QByteArray &stored() const noexcept
    {
        return this->storedBytes;
    }
    [[nodiscard]] bool isCompressed() const noexcept
    {
        return this->compressed;
    }

    friend bool operator==(const PackedBytes &, const PackedBytes &) = default;

private:
    QByteArray storedBytes;
    bool compressed = false;
};

} // namespace lacewingmux
