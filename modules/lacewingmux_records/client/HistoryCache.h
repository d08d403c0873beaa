#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include "lacewingmux_records/client/CachedHistory.h"

#include <QByteArray>
#include <QHash>

#include <list>
#include <optional>
#include <unordered_map>

namespace lacewingmux {

/**
    A least-recently-used cache, limited in bytes, of the histories of chains that end with a
    completed turn, so that the next turn need not request its history from a records VM.
*/
class HistoryCache
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit HistoryCache(qsizetype limitBytes);

    /** Stores the history of the chain that ends with the turn, until the given time. */
    void put(const QByteArray &turn, const QByteArray &team, const CachedHistory &history,
             SteadyTime expires);

    /** Returns the history of the chain that ends with the turn, if it belongs to the team. */
    [[nodiscard]] std::optional<CachedHistory> find(const QByteArray &turn, const QByteArray &team,
                                                    SteadyTime now);

private:
    struct Entry
    {
        QByteArray team;
        CachedHistory history;
        SteadyTime expires;
        std::list<QByteArray>::iterator usePosition;
    };

    void remove(const QByteArray &turn);

    qsizetype capacityBytes;
    qsizetype usedBytes = 0;
    std::unordered_map<QByteArray, Entry> entries;
    std::list<QByteArray> byUse; ///< most recently used first
};

} // namespace lacewingmux
