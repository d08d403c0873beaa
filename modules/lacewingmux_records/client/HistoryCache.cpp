#include "lacewingmux_records/client/HistoryCache.h"

namespace lacewingmux {

HistoryCache::HistoryCache(qsizetype limitBytes)
    : capacityBytes(limitBytes)
{ }

void HistoryCache::put(const QByteArray &turn, const QByteArray &team, const CachedHistory &history,
                       SteadyTime expires)
{
    this->remove(turn);
    this->byUse.push_front(turn);
    this->entries.emplace(turn, Entry{team, history, expires, this->byUse.begin()});
    this->usedBytes += history.bytes.size();
    while (this->usedBytes > this->capacityBytes && !this->byUse.empty())
        this->remove(QByteArray(this->byUse.back()));
}

std::optional<CachedHistory> HistoryCache::find(const QByteArray &turn, const QByteArray &team,
                                                SteadyTime now)
{
    const auto found = this->entries.find(turn);
    if (found == this->entries.end() || found->second.team != team || found->second.expires <= now)
        return std::nullopt;
    this->byUse.splice(this->byUse.begin(), this->byUse, found->second.usePosition);
    return found->second.history;
}

void HistoryCache::remove(const QByteArray &turn)
{
    const auto found = this->entries.find(turn);
    if (found == this->entries.end())
        return;
    this->usedBytes -= found->second.history.bytes.size();
    this->byUse.erase(found->second.usePosition);
    this->entries.erase(found);
}

} // namespace lacewingmux
