#pragma once

#include "lacewingmux_config/keys/KeyShard.h"
#include "lacewingmux_config/keys/KeyVerdict.h"

#include <QByteArray>
#include <QHash>
#include <QString>

#include <array>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    All keys that this VM knows, immutable: a new shard makes a new ring, and the snapshot goes to
   the traffic threads as std::shared_ptr<const KeyRing>.
*/
class KeyRing
{
public:
    KeyRing() = default;

    /**
        Returns a ring with the shard in place of its earlier revision, or null when this ring has
        the same or a higher revision of it: keys never revert.
    */
    [[nodiscard]] std::shared_ptr<const KeyRing> withShard(const KeyShard &shard) const;

    /** Judges a presented key. */
    [[nodiscard]] KeyVerdict authenticate(const QByteArray &presented) const;

    /** Returns the ids of the keys that are valid here and withdrawn or gone in the newer ring. */
    [[nodiscard]] std::vector<QString> withdrawnIn(const KeyRing &newer) const;

    /** Returns the revision of a shard, 0 when none is known. */
    [[nodiscard]] std::uint64_t revision(int shardIndex) const;

    /** Returns the shard as it is known, for a peer that asks. */
    [[nodiscard]] std::shared_ptr<const KeyShard> shard(int shardIndex) const;

private:
    std::array<std::shared_ptr<const KeyShard>, KeyShard::shardCount> shards;
    QHash<QString, const KeyRecord *> keysById; ///< into the shards
};

} // namespace lacewingmux
