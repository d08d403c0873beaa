#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/prefixes/PrefixRetention.h"

#include <QByteArray>
#include <QHash>
#include <QString>

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace lacewingmux {

/**
    The programs that pause between calls on this VM, and the prefixes exported for them.

    Both are bounded; the programs that began to pause first are forgotten first, which costs only
    the lesson of their pause, or the computing of their prefix.
*/
class PausedPrefixes
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit PausedPrefixes(std::size_t programLimit = 100000,
                            std::int64_t exportLimitBytes = std::int64_t{64} * 1024 * 1024);
    PausedPrefixes(const PausedPrefixes &) = delete;
    PausedPrefixes &operator=(const PausedPrefixes &) = delete;

    /** Notes the team and route of the program's last call. */
    void called(const QString &program, const QString &team, const QString &route, SteadyTime now);

    /** Notes that the program pauses, and decides about its prefix. */
    [[nodiscard]] RetentionAction paused(const QString &program, std::int64_t prefixTokens,
                                         double memoryPressure, bool exportSupported,
                                         SteadyTime now);

    /** Keeps an exported prefix for a program that still pauses; false when there is no room. */
    bool storeExport(const QString &program, const QByteArray &exported);

    /** Takes the exported prefix of a program that goes on. */
    [[nodiscard]] std::optional<QByteArray> takeExport(const QString &program);

    /** Forgets an ended program. */
    void ended(const QString &program);

private:
    struct Entry
    {
        QString team;
        QString route;
        std::optional<SteadyTime> pausedAt;
        QByteArray exported;
        std::list<QString>::iterator agePosition;
    };

    void evictOldest();

    std::size_t maximumPrograms;
    std::int64_t maximumExportBytes;
    std::int64_t exportedBytes = 0;
    PrefixRetention retention;
    std::unordered_map<QString, Entry> entries;
    std::list<QString> byAge; ///< the one noted longest ago first
};

} // namespace lacewingmux
