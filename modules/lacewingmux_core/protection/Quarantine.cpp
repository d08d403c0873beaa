#include "lacewingmux_core/protection/Quarantine.h"

#include "lacewingmux_core/metrics/WorkCounter.h"

#include <algorithm>

namespace lacewingmux {

Quarantine::Quarantine(const QuarantineSettings &quarantineSettings)
    : settings(quarantineSettings)
{ }

bool Quarantine::record(const CrashCoincidence &coincidence, SteadyTime now)
{
    this->makeRoom(now);
    Entry &entry = this->entries[coincidence.contentDigest];
    if (entry.expiry <= now)
        entry.crashes.clear();
    const bool known = std::find(entry.crashes.begin(), entry.crashes.end(), coincidence.crash)
                       != entry.crashes.end();
    if (known || entry.crashes.size() >= this->settings.crashesToQuarantine)
        return false;
    entry.crashes.push_back(coincidence.crash);
    entry.expiry = now
                   + (entry.crashes.size() < this->settings.crashesToQuarantine
                              ? this->settings.suspicionTimeout
                              : this->settings.quarantineTimeout);
    this->byExpiry.emplace_back(entry.expiry, coincidence.contentDigest);
    return true;
}

void Quarantine::retract(const CrashCoincidence &coincidence)
{
    const auto found = this->entries.find(coincidence.contentDigest);
    if (found == this->entries.end())
        return;
    std::erase(found->second.crashes, coincidence.crash);
    if (found->second.crashes.empty())
        this->entries.erase(found);
}

void Quarantine::completed(const QByteArray &contentDigest)
{
    const auto found = this->entries.find(contentDigest);
    if (found != this->entries.end()
        && found->second.crashes.size() < this->settings.crashesToQuarantine)
        this->entries.erase(found);
}

void Quarantine::release(const QByteArray &contentDigest)
{
    this->entries.erase(contentDigest);
}

QuarantineVerdict Quarantine::verdict(const QByteArray &contentDigest, SteadyTime now) const
{
    const Entry *entry = this->liveEntry(contentDigest, now);
    if (!entry)
        return QuarantineVerdict::Clear;
    return entry->crashes.size() < this->settings.crashesToQuarantine
                   ? QuarantineVerdict::Suspect
                   : QuarantineVerdict::Quarantined;
}

std::chrono::milliseconds Quarantine::retryAfter(const QByteArray &contentDigest,
                                                 SteadyTime now) const
{
    if (this->verdict(contentDigest, now) != QuarantineVerdict::Quarantined)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(this->entries.at(contentDigest).expiry
                                                        - now);
}

std::vector<CrashCoincidence> Quarantine::coincidences(SteadyTime now) const
{
    std::vector<CrashCoincidence> held;
    for (const auto &[digest, entry] : this->entries) {
        if (entry.expiry <= now)
            continue;
        for (const QString &crash : entry.crashes)
            held.push_back({digest, crash});
    }
    return held;
}

const Quarantine::Entry *Quarantine::liveEntry(const QByteArray &contentDigest,
                                               SteadyTime now) const
{
    WorkCounter::note(1 + this->entries.bucket_size(this->entries.bucket(contentDigest)));
    const auto found = this->entries.find(contentDigest);
    const bool live = found != this->entries.end() && found->second.expiry > now;
    return live ? &found->second : nullptr;
}

void Quarantine::makeRoom(SteadyTime now)
{
    while (!this->byExpiry.empty()) {
        const auto &[expiry, digest] = this->byExpiry.front();
        const auto found = this->entries.find(digest);
        const bool current = found != this->entries.end() && found->second.expiry == expiry;
        const bool full = this->entries.size() >= this->settings.maximumEntries
                          || this->byExpiry.size() > this->settings.crashesToQuarantine
                                                             * this->settings.maximumEntries;
        if (current && expiry > now && !full)
            return;
        if (current)
            this->entries.erase(found);
        this->byExpiry.pop_front();
    }
}

} // namespace lacewingmux
