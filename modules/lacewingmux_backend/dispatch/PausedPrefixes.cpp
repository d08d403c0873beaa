#include "lacewingmux_backend/dispatch/PausedPrefixes.h"

#include <utility>

namespace lacewingmux {

PausedPrefixes::PausedPrefixes(std::size_t programLimit, std::int64_t exportLimitBytes)
    : maximumPrograms(programLimit)
    , maximumExportBytes(exportLimitBytes)
{ }

void PausedPrefixes::called(const QString &program, const QString &team, const QString &route,
                            SteadyTime now)
{
    if (program.isEmpty())
        return;
    const auto found = this->entries.find(program);
    if (found != this->entries.end()) {
        if (const auto since = std::exchange(found->second.pausedAt, std::nullopt))
            this->retention.resumed(
                    found->second.team, found->second.route,
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - *since));
        found->second.team = team;
        found->second.route = route;
        return;
    }
    if (this->entries.size() >= this->maximumPrograms)
        this->evictOldest();
    this->byAge.push_back(program);
    this->entries.emplace(program,
                          Entry{team, route, std::nullopt, {}, std::prev(this->byAge.end())});
}

RetentionAction PausedPrefixes::paused(const QString &program, std::int64_t prefixTokens,
                                       double memoryPressure, bool exportSupported, SteadyTime now)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return RetentionAction::Keep;
    Entry &entry = found->second;
    entry.pausedAt = now;
    return this->retention.decide(
            {entry.team, entry.route, prefixTokens, memoryPressure, exportSupported});
}

bool PausedPrefixes::storeExport(const QString &program, const QByteArray &exported)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end() || !found->second.pausedAt
        || this->exportedBytes + exported.size() > this->maximumExportBytes)
        return false;
    this->exportedBytes += exported.size() - found->second.exported.size();
    found->second.exported = exported;
    return true;
}

std::optional<QByteArray> PausedPrefixes::takeExport(const QString &program)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end() || found->second.exported.isEmpty())
        return std::nullopt;
    this->exportedBytes -= found->second.exported.size();
    return std::exchange(found->second.exported, {});
}

void PausedPrefixes::ended(const QString &program)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return;
    if (found->second.pausedAt)
        this->retention.ended(found->second.team, found->second.route);
    this->exportedBytes -= found->second.exported.size();
    this->byAge.erase(found->second.agePosition);
    this->entries.erase(found);
}

void PausedPrefixes::evictOldest()
{
    const auto found = this->entries.find(this->byAge.front());
    this->exportedBytes -= found->second.exported.size();
    this->entries.erase(found);
    this->byAge.pop_front();
}

} // namespace lacewingmux
