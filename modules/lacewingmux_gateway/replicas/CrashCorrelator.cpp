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
                                             const QByteArray &contentDigest, SteadyTime now)
{
    if (this->brokenRequests.size() > expiryThreshold)
        this->removeExpired(now);
    this->brokenRequests[instance].push_back({contentDigest, now});
}

void CrashCorrelator::recordUnreachable(const QByteArray &instance, SteadyTime now)
{
    const auto entry = this->brokenRequests.extract(instance);
    if (entry.empty())
        return;
    for (const BrokenRequest &request : entry.mapped()) {
        if (now - request.time > crashWindow)
            continue;
        const CrashCoincidence coincidence{request.contentDigest, QString::fromUtf8(instance)};
        if (!this->quarantine.record(coincidence, now))
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
    this->quarantine.record(coincidence, now);
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
        return std::all_of(
                entry.second.begin(), entry.second.end(),
                [now](const BrokenRequest &request) { return now - request.time > crashWindow; });
    });
}

} // namespace lacewingmux
