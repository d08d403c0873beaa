#pragma once

#include "lacewingmux_config/keys/KeyRecord.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/**
    One of the records in the platform's store that hold the keys.

    A value of the store is at most a megabyte, and a key takes some 250 bytes: 16 shards hold
   60,000 keys. A key's shard is the first digit of its id. Each shard has a revision of its own
   that grows by one with each change; a lower one is never taken.
*/
struct KeyShard
{
    static constexpr int shardCount = 16;

    int index = 0;              ///< 0 to 15
    std::uint64_t revision = 0; ///< 0 means that the shard was never written
    std::vector<KeyRecord> keys;

    /** Returns the number of the shard that holds the key. */
    [[nodiscard]] static int indexFor(const QString &keyId);

    /** Returns the store's key of a shard. */
    [[nodiscard]] static QByteArray storeKey(int shardIndex);

    /** The prefix of the store's keys of all shards. */
    static constexpr const char *storePrefix = "lacewingmux/keys/";

    /** Returns the JSON text for the store. */
    [[nodiscard]] QByteArray toJson() const;

    /** Reads what toJson wrote; empty text is a shard never written. Throws ConfigurationInvalid.
     */
    [[nodiscard]] static KeyShard fromJson(int shardIndex, const QByteArray &json);
};

} // namespace lacewingmux
