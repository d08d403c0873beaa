#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>
#include <QHash>

#include <list>
#include <optional>
#include <unordered_map>

namespace lacewingmux {

/**
    Chains that this VM has seen, up to and with a turn that ended whole, so that the next turn
    need not ask a records VM for them. Bounded in bytes; the least recently used go first.
*/
class HistoryCache
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit HistoryCache(qsizetype limitBytes);

    /** Keeps the chain that ends with the turn until the time. */
    void put(const QByteArray &turn, const QByteArray &team, const QByteArray &history,
             SteadyTime expires);

    /** Returns the chain that ends with the turn of the team. */
    [[nodiscard]] std::optional<QByteArray> find(const QByteArray &turn, const QByteArray &team,
                                                 SteadyTime now);

private:
    struct Entry
    {
        QByteArray team;
        QByteArray history;
        SteadyTime expires;
        std::list<QByteArray>::iterator place;
    };

    void remove(const QByteArray &turn);

    qsizetype limit;
    qsizetype used = 0;
    std::unordered_map<QByteArray, Entry> entries;
    std::list<QByteArray> byUse; ///< most recent first
};

} // namespace lacewingmux
