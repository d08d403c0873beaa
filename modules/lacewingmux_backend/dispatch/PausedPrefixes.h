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
    Tracks the programs that pause between calls on this VM and stores the prefixes exported for
    them.

    Both are bounded. When the limit of programs is reached, the program added first is evicted.
    This costs only one sample of its pause length, or the recomputation of its prefix.
*/
class PausedPrefixes
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit PausedPrefixes(std::size_t programLimit = 100000,
                            std::int64_t exportLimitBytes = std::int64_t{64} * 1024 * 1024);
    PausedPrefixes(const PausedPrefixes &) = delete;
    PausedPrefixes &operator=(const PausedPrefixes &) = delete;

    /** Records the team and route of the program's latest call, which ends its pause. */
    void called(const QString &program, const QString &team, const QString &route, SteadyTime now);

    /** Records the start of a pause and returns what to do with the program's prefix. */
    [[nodiscard]] RetentionAction paused(const QString &program, std::int64_t prefixTokens,
                                         double memoryPressure, bool exportSupported,
                                         SteadyTime now);

    /** Stores an exported prefix. Returns false when the program is not paused any more or the
        export would exceed the byte limit. */
    bool storeExport(const QString &program, const QByteArray &exported);

    /** Removes and returns the exported prefix of a program that resumes. */
    [[nodiscard]] std::optional<QByteArray> takeExport(const QString &program);

    /** Removes an ended program. */
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
    std::list<QString> byAge; ///< in the order they were added, oldest first
};

} // namespace lacewingmux
