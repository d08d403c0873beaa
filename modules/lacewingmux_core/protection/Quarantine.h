#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>
#include <QHash>
#include <QString>

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingmux {

/** How far a request's content is trusted. */
enum class QuarantineVerdict : std::uint8_t {
    Clear,      ///< runs like any other
    Suspect,    ///< ran when a replica crashed; runs apart from other suspects
    Quarantined ///< ran at as many crashes as the settings say; is refused until it expires
};

/** A content that ran on a replica when that crashed; VMs tell each other of them. */
struct CrashCoincidence
{
    QByteArray contentDigest;
    QString crash; ///< names the one crash, the same on every VM: replica and its start
    std::chrono::milliseconds sinceSent{0};  ///< age of the run when this is reported
    std::chrono::milliseconds sinceCrash{0}; ///< age of the crash when this is reported
    QByteArray turnDigest{}; ///< of the content together with the turn that it continues, if any
};

/** Parameters of Quarantine. */
struct QuarantineSettings
{
    std::size_t crashesToQuarantine = 2; ///< a neighbour of one crash must not suffer
    std::chrono::seconds suspicionTimeout{600};
    std::chrono::seconds quarantineTimeout{3600};
    std::size_t maximumEntries = 10000;
};

/**
    Recognises requests that crash the replicas which run them, by the digest of their content.

    A content that ran at a crash becomes suspect; at a second crash it is quarantined. Its
    neighbours at the first crash are suspects as well, so suspects are kept apart
    (ChoiceRequest::suspect): the second crash then tells them from the culprit, and a neighbour
    that runs to its end is clear again. A crash is counted once for a content however often it is
    reported, so VMs may exchange coincidences freely. Bounded: the oldest entries give way.
*/
class Quarantine
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit Quarantine(const QuarantineSettings &quarantineSettings = {});

    /** Notes a coincidence, seen here or told by another VM. Returns whether it was new. */
    bool record(const CrashCoincidence &coincidence, SteadyTime now);

    /** Takes back a crash of which the content proved not to be the cause. */
    void retract(const CrashCoincidence &coincidence);

    /** Notes that the content ran to its end: a suspect is clear, a quarantined one is not. */
    void completed(const QByteArray &contentDigest);

    /** Ends the suspicion or quarantine of a content that proved not to be the cause of crashes. */
    void release(const QByteArray &contentDigest);

    /** Returns how far the content is trusted now. */
    [[nodiscard]] QuarantineVerdict verdict(const QByteArray &contentDigest, SteadyTime now) const;

    /** Returns when a quarantined content is due to be allowed again; zero for others. */
    [[nodiscard]] std::chrono::milliseconds retryAfter(const QByteArray &contentDigest,
                                                       SteadyTime now) const;

    /** Returns all that is held, for a VM that joins. */
    [[nodiscard]] std::vector<CrashCoincidence> coincidences(SteadyTime now) const;

    /** Returns how many contents are held. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->entries.size();
    }

private:
    struct Entry
    {
        std::vector<QString> crashes; ///< at least one
        SteadyTime expiry;
    };

    [[nodiscard]] const Entry *liveEntry(const QByteArray &contentDigest, SteadyTime now) const;
    void makeRoom(SteadyTime now);

    QuarantineSettings settings;
    std::unordered_map<QByteArray, Entry> entries;
    std::deque<std::pair<SteadyTime, QByteArray>> byExpiry; ///< in order of recording; lazy
};

} // namespace lacewingmux
