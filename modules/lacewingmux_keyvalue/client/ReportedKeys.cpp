#include "lacewingmux_keyvalue/client/ReportedKeys.h"

namespace lacewingmux {

void ReportedKeys::note(const StoreRecord &change)
{
    if (change.createRevision == 0)
        this->keys.erase(change.key);
    else
        this->keys.insert(change.key);
}

bool ReportedKeys::contains(const QByteArray &key) const
{
    return this->keys.contains(key);
}

std::vector<StoreRecord> ReportedKeys::missingFrom(const std::vector<StoreRecord> &list,
                                                   std::int64_t revision) const
{
    std::set<QByteArray> missing = this->keys;
    for (const StoreRecord &record : list)
        missing.erase(record.key);
    std::vector<StoreRecord> deletions;
    deletions.reserve(missing.size());
    for (const QByteArray &key : missing)
        deletions.push_back(StoreRecord{key, {}, 0, revision, 0});
    return deletions;
}

} // namespace lacewingmux
