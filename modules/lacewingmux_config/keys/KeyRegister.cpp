#include "lacewingmux_config/keys/KeyRegister.h"

#include "lacewingmux_config/keys/KeyShard.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr std::chrono::hours withdrawnRetention{30 * 24};

KeyRecord *findKey(KeyShard &shard, const QString &keyId)
{
    const auto found = std::find_if(shard.keys.begin(), shard.keys.end(),
                                    [&keyId](const KeyRecord &key) { return key.keyId == keyId; });
    return found == shard.keys.end() ? nullptr : &*found;
}

QByteArray nextRevision(KeyShard shard, KeyRegister::Time now)
{
    std::erase_if(shard.keys, [now](const KeyRecord &key) {
        return key.withdrawn && *key.withdrawn + withdrawnRetention < now;
    });
    ++shard.revision;
    return shard.toJson();
}

int indexFromStoreKey(const QByteArray &storeKey)
{
    return KeyShard::indexFor(QString::fromLatin1(storeKey.right(1)));
}

/** Returns the keys in the store's record of a shard; none if it can't be read. */
std::vector<KeyRecord> readKeys(const StoreRecord &record)
{
    try {
        return KeyShard::fromJson(indexFromStoreKey(record.key), record.value).keys;
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Error, "keyShardUnreadable")
                .field("storeKey", QString::fromUtf8(record.key))
                .field("reason", error.message());
        return {};
    }
}

} // namespace

KeyRegister::KeyRegister(PlatformStore &platformStore)
    : store(platformStore)
{ }

void KeyRegister::issue(const QString &team, Time now, IssueCallback callback)
{
    const KeyText text = KeyText::generate();
    const KeyRecord record = KeyRecord::make(text.keyId, text.secret, team, now);
    const int index = KeyShard::indexFor(text.keyId);
    const auto change = [index, record, now](const QByteArray &current) {
        KeyShard shard = KeyShard::fromJson(index, current);
        if (findKey(shard, record.keyId) != nullptr)
            return std::optional<QByteArray>();
        shard.keys.push_back(record);
        return std::optional<QByteArray>(nextRevision(std::move(shard), now));
    };
    updateRecord(
            this->store, KeyShard::storeKey(index), change,
            [text, callback = std::move(callback)](const auto &error) { callback(error, text); });
}

void KeyRegister::withdraw(const QString &keyId, Time now, DoneCallback callback)
{
    const int index = KeyShard::indexFor(keyId);
    const auto change = [index, keyId, now](const QByteArray &current) {
        KeyShard shard = KeyShard::fromJson(index, current);
        KeyRecord *key = findKey(shard, keyId);
        if (key == nullptr)
            throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                                   QStringLiteral("there is no key ") + keyId);
        if (key->withdrawn)
            return std::optional<QByteArray>();
        key->withdrawn = now;
        return std::optional<QByteArray>(nextRevision(std::move(shard), now));
    };
    updateRecord(this->store, KeyShard::storeKey(index), change, std::move(callback));
}

void KeyRegister::list(ListCallback callback)
{
    this->store.readPrefix(KeyShard::storePrefix,
                           [callback = std::move(callback)](const auto &records) {
                               if (!records) {
                                   callback(std::nullopt);
                                   return;
                               }
                               std::vector<KeyRecord> keys;
                               for (const StoreRecord &record : *records) {
                                   const std::vector<KeyRecord> shardKeys = readKeys(record);
                                   keys.insert(keys.end(), shardKeys.begin(), shardKeys.end());
                               }
                               callback(keys);
                           });
}

} // namespace lacewingmux
