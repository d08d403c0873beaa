#pragma once

#include "lacewingmux_config/keys/KeyShard.h"

#include <array>
#include <cstdint>
#include <numeric>

namespace lacewingmux {

/** The revisions of the configuration and of each shard of the keys; 0 where none is known. */
struct RevisionSet
{
    std::uint64_t configuration = 0;
    std::array<std::uint64_t, KeyShard::shardCount> keyShards{};

    /** Tells whether nothing in the other set is newer. */
    [[nodiscard]] bool covers(const RevisionSet &other) const noexcept
    {
        for (std::size_t index = 0; index < this->keyShards.size(); ++index) {
            if (this->keyShards[index] < other.keyShards[index])
                return false;
        }
        return this->configuration >= other.configuration;
    }

    /** Returns the sum over the shards, which grows by one with each change of a key. */
    [[nodiscard]] std::uint64_t keys() const noexcept
    {
        return std::accumulate(this->keyShards.begin(), this->keyShards.end(), std::uint64_t{0});
    }

    friend bool operator==(const RevisionSet &, const RevisionSet &) = default;
};

} // namespace lacewingmux
