#include "lacewingmux_gateway/replicas/CrashCorrelator.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

// Maximum time between a crash and a failed connect; a replica restarts within some seconds.
constexpr std::chrono::milliseconds crashWindow{1500};
// Number of instances with broken connections above which expired entries are removed.
constexpr std::size_t expiryThreshold = 64;
// A run that began with the retry of the one before may seem to have begun earlier by the
// difference of two notices' times in the network.
constexpr std::chrono::milliseconds noticeDelayTolerance{10};
// No run takes longer, so that an older crash was before each run that may be reported.
constexpr std::chrono::minutes longestRun{10};

QuarantineSettings quarantineSettings()
{
    QuarantineSettings settings;
    settings.crashesToQuarantine = 3;
    return settings;
}

} // namespace

CrashCorrelator::CrashCorrelator(CrashHook crashHook)
    : crashFound(std::move(crashHook))
    , quarantine(quarantineSettings())
{ }

void CrashCorrelator::recordBrokenConnection(const QByteArray &instance,
                                             const BrokenRequest &request)
{
    if (this->brokenRequests.size() > expiryThreshold)
        this->removeExpired(request.brokenAt);
    this->brokenRequests[instance].push_back(request);
}

void CrashCorrelator::recordCompleted(const QByteArray &contentDigest)
{
    this->quarantine.completed(contentDigest);
}

void CrashCorrelator::recordUnreachable(const QByteArray &instance, SteadyTime now)
{
    const auto entry = this->brokenRequests.extract(instance);
    if (entry.empty())
        return;
    for (const BrokenRequest &request : entry.mapped()) {
        if (now - request.brokenAt > crashWindow)
            continue;
        const QByteArray crash = instance + '/' + QByteArray::number(request.startMilliseconds);
        const CrashCoincidence coincidence{
                request.contentDigest, QString::fromUtf8(crash),
                std::chrono::floor<std::chrono::milliseconds>(now - request.sentAt),
                std::chrono::floor<std::chrono::milliseconds>(now - request.brokenAt)};
        if (!this->count(coincidence, now))
            continue;
        LogEvent(LogSeverity::Warning, "replicaCrashed")
                .field("replica", instance)
                .field("digest", request.contentDigest.toHex())
                .field("quarantined", this->isQuarantined(request.contentDigest, now));
        this->crashFound(coincidence);
    }
}

void CrashCorrelator::addRemoteCoincidence(const CrashCoincidence &coincidence, SteadyTime now)
{
    this->count(coincidence, now);
}

bool CrashCorrelator::count(const CrashCoincidence &coincidence, SteadyTime now)
{
    if (this->lastCrashes.size() > expiryThreshold)
        std::erase_if(this->lastCrashes,
                      [now](const auto &last) { return now - last.second > longestRun; });
    const SteadyTime crashedAt = now - coincidence.sinceCrash;
    const auto [last, isFirst] =
            this->lastCrashes.try_emplace(coincidence.contentDigest, crashedAt);
    if (!isFirst && now - coincidence.sinceSent + noticeDelayTolerance < last->second)
        return false;
    if (!this->quarantine.record(coincidence, now))
        return false;
    last->second = std::max(last->second, crashedAt);
    return true;
}

bool CrashCorrelator::hasSuspects() const noexcept
{
    return this->quarantine.size() > 0;
}

bool CrashCorrelator::isQuarantined(const QByteArray &contentDigest, SteadyTime now) const
{
    return this->quarantine.verdict(contentDigest, now) == QuarantineVerdict::Quarantined;
}

void CrashCorrelator::removeExpired(SteadyTime now)
{
    std::erase_if(this->brokenRequests, [now](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(),
                           [now](const BrokenRequest &request) {
                               return now - request.brokenAt > crashWindow;
                           });
    });
}

} // namespace lacewingmux
