#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/**
    Returns a 64-bit hash of the bytes that is the same in every process, build and version.

    FNV-1a followed by the finalizer of MurmurHash3, which spreads the high bits that
    rendezvous hashing compares. It is no defence against chosen input.
*/
[[nodiscard]] std::uint64_t stableHash(const QByteArray &bytes) noexcept;

/** Mixes two hashes into one; the order of the arguments matters. */
[[nodiscard]] std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second) noexcept;

} // namespace lacewingmux
