#include "lacewingmux_gateway/replicas/CrashSuspicions.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

// Between a crash and the next attempt to connect; a replica is back after some seconds.
constexpr std::chrono::milliseconds crashWindow{1500};
constexpr std::size_t manyInstances = 64; // with broken connections, before old ones are dropped

QuarantineSettings quarantineSettings()
{
    QuarantineSettings settings;
    settings.crashesToQuarantine = 3;
    return settings;
}

} // namespace

CrashSuspicions::CrashSuspicions(CrashHook crashHook)
    : found(std::move(crashHook))
    , quarantine(quarantineSettings())
{ }

void CrashSuspicions::noteBroken(const QByteArray &instance, const QByteArray &contentDigest,
                                 SteadyTime now)
{
    if (this->broken.size() > manyInstances)
        this->dropOld(now);
    this->broken[instance].push_back({contentDigest, now});
}

void CrashSuspicions::noteUnreachable(const QByteArray &instance, SteadyTime now)
{
    const auto entry = this->broken.extract(instance);
    if (entry.empty())
        return;
    for (const Broken &request : entry.mapped()) {
        if (now - request.when > crashWindow)
            continue;
        const CrashCoincidence coincidence{request.contentDigest, QString::fromUtf8(instance)};
        if (!this->quarantine.record(coincidence, now))
            continue;
        LogEvent(LogSeverity::Warning, "replicaCrashed")
                .field("replica", instance)
                .field("digest", request.contentDigest.toHex())
                .field("quarantined", this->isQuarantined(request.contentDigest, now));
        this->found(coincidence);
    }
}

void CrashSuspicions::takeNotice(const CrashCoincidence &coincidence, SteadyTime now)
{
    this->quarantine.record(coincidence, now);
}

bool CrashSuspicions::holdsAny() const noexcept
{
    return this->quarantine.size() > 0;
}

bool CrashSuspicions::isQuarantined(const QByteArray &contentDigest, SteadyTime now) const
{
    return this->quarantine.verdict(contentDigest, now) == QuarantineVerdict::Quarantined;
}

void CrashSuspicions::dropOld(SteadyTime now)
{
    std::erase_if(this->broken, [now](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [now](const Broken &request) {
            return now - request.when > crashWindow;
        });
    });
}

} // namespace lacewingmux
