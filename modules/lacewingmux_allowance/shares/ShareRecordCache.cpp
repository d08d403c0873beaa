#include "lacewingmux_allowance/shares/ShareRecordCache.h"

namespace lacewingmux {

bool ShareRecordCache::update(const QByteArray &key, std::int64_t revision, const QByteArray &value)
{
    const auto known = this->entriesByKey.find(key);
    if (revision <= 0 || (known != this->entriesByKey.end() && known->second.revision >= revision))
        return false;
    auto record = ShareRecord::decode(value);
    if (!record)
        return false;
    this->entriesByKey[key] = {revision, value, std::move(*record)};
    return true;
}

const ShareRecordCache::Entry &ShareRecordCache::entry(const QByteArray &key) const
{
    static const Entry absent;
    const auto found = this->entriesByKey.find(key);
    return found == this->entriesByKey.end() ? absent : found->second;
}

const SharesByZone *ShareRecordCache::find(const ShareItem &item) const
{
    return this->entry(ShareRecord::keyOf(item)).record.find(item);
}

std::shared_ptr<const ShareTable> ShareRecordCache::tableOf(const QString &zone) const
{
    auto table = std::make_shared<ShareTable>();
    for (const auto &[key, entry] : this->entriesByKey) {
        for (const auto &[item, shares] : entry.record.items()) {
            const auto share = shares.find(zone);
            table->countersByItem[item] =
                    share == shares.end() ? ShareCounters() : share->second.counters;
        }
    }
    return table;
}

} // namespace lacewingmux
