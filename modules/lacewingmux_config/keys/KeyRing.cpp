#include "lacewingmux_config/keys/KeyRing.h"

#include "lacewingmux_config/keys/KeyText.h"

namespace lacewingmux {

std::shared_ptr<const KeyRing> KeyRing::withShard(const KeyShard &shard) const
{
    if (shard.revision <= this->revision(shard.index))
        return nullptr;

    auto ring = std::make_shared<KeyRing>();
    ring->shards = this->shards;
    ring->shards.at(static_cast<std::size_t>(shard.index)) = std::make_shared<KeyShard>(shard);
    for (const auto &held : ring->shards) {
        if (!held)
            continue;
        for (const KeyRecord &key : held->keys)
            ring->keysById.insert(key.keyId, &key);
    }
    return ring;
}

KeyVerdict KeyRing::authenticate(const QByteArray &presented) const
{
    const std::optional<KeyText> text = KeyText::parse(presented);
    if (!text)
        return {};
    const KeyRecord *key = this->keysById.value(text->keyId);
    if (key == nullptr || !key->matches(text->secret))
        return {};
    return {key->withdrawn ? KeyStatus::Withdrawn : KeyStatus::Valid, key->team, key->keyId};
}

std::vector<QString> KeyRing::withdrawnIn(const KeyRing &newer) const
{
    std::vector<QString> result;
    for (const KeyRecord *key : this->keysById) {
        if (key->withdrawn)
            continue;
        const KeyRecord *now = newer.keysById.value(key->keyId);
        if (now == nullptr || now->withdrawn)
            result.push_back(key->keyId);
    }
    return result;
}

std::uint64_t KeyRing::revision(int shardIndex) const
{
    const auto held = this->shard(shardIndex);
    return held ? held->revision : 0;
}

std::shared_ptr<const KeyShard> KeyRing::shard(int shardIndex) const
{
    return this->shards.at(static_cast<std::size_t>(shardIndex));
}

} // namespace lacewingmux
