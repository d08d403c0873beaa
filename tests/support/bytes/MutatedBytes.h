#pragma once

#include <QByteArray>

#include <cstdint>
#include <random>

namespace lacewingmux {

/** Returns damaged copies of valid messages, by a seed: cut, with bytes changed, repeated, removed
   or exchanged with those of another message. */
class MutatedBytes
{
public:
    explicit MutatedBytes(std::uint64_t seed);

    /** Returns a damaged copy of the message; parts of the other message may be mixed in. */
    [[nodiscard]] QByteArray damaged(const QByteArray &message, const QByteArray &other);

private:
    [[nodiscard]] qsizetype below(qsizetype limit);

    std::mt19937_64 random;
};

} // namespace lacewingmux
