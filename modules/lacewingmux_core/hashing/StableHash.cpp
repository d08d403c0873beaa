#include "lacewingmux_core/hashing/StableHash.h"

namespace lacewingmux {

namespace {

constexpr std::uint64_t fnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

std::uint64_t finalize(std::uint64_t value) noexcept
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::uint64_t stableHash(const QByteArray &bytes) noexcept
{
    std::uint64_t hash = fnvOffsetBasis;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnvPrime;
    }
    return finalize(hash);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second) noexcept
{
    return finalize(first * fnvPrime + second);
}

} // namespace lacewingmux
