#pragma once

#include <QByteArray>

namespace lacewingmux {

/**
    Stored bytes of a request or response body, compressed if that makes them shorter, because
    a stored history is read only rarely.
*/
class PackedBytes
{
public:
    PackedBytes() = default;

    /** Stores bytes, compressed if they are long enough and become shorter. */
    [[nodiscard]] static PackedBytes pack(const QByteArray &bytes);

    /** Restores a value from what stored() and isCompressed() returned. */
    [[nodiscard]] static PackedBytes fromStored(const QByteArray &stored, bool compressed);

    /** Returns the original bytes, decompressed if necessary. */
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
