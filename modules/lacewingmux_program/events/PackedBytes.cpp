#include "lacewingmux_program/events/PackedBytes.h"

namespace lacewingmux {

namespace {

constexpr qsizetype minimumCompressibleBytes = 1024;
constexpr int compressionLevel = 1; ///< of zlib, from 1 (fast) to 9 (small)

} // namespace

PackedBytes PackedBytes::pack(const QByteArray &bytes)
{
    if (bytes.size() < minimumCompressibleBytes)
        return fromStored(bytes, false);
    const QByteArray compressedBytes = qCompress(bytes, compressionLevel);
    if (compressedBytes.isEmpty() || compressedBytes.size() >= bytes.size())
        return fromStored(bytes, false);
    return fromStored(compressedBytes, true);
}

PackedBytes PackedBytes::fromStored(const QByteArray &stored, bool isStoredCompressed)
{
    PackedBytes packed;
    packed.storedBytes = stored;
    packed.compressed = isStoredCompressed;
    return packed;
}

QByteArray PackedBytes::unpack() const
{
    return this->compressed ? qUncompress(this->storedBytes) : this->storedBytes;
}

} // namespace lacewingmux
