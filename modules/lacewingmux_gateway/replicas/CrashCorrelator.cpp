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
// Time after a crash in which other VMs report theirs, and probes find other failures.
constexpr std::chrono::milliseconds settlingTime{1000};
// A replica that is found unreachable again within this time has not failed again.
constexpr std::chrono::seconds failureRetention{30};
// Bound the memory for failures of replicas that return again and again, and for crashes.
constexpr std::size_t maximumEndedFailures = 256;
constexpr std::size_t maximumCrashTimes = 16;
// Other failures beside a crash at which it is taken back, if each of the replicas ran a request.
constexpr std::ptrdiff_t commonFailures = 2;
// Bounds the time to find a known crash when many replicas fail at once. Further crashes count as
// far as they do at once.
constexpr std::size_t maximumUndecided = 512;
// No run takes longer, so that an older crash was before each run that may be reported.
constexpr std::chrono::minutes longestRun{10};
constexpr int crashesToQuarantine = 3;
// Until then, runs of the same moment are usually answered, and replicas are back.
constexpr std::chrono::seconds trialDelay{5};

QuarantineSettings quarantineSettings()
{
    QuarantineSettings settings;
    settings.crashesToQuarantine = crashesToQuarantine;
    return settings;
}

} // namespace

CrashCorrelator::CrashCorrelator(CrashHook crashHook, std::function<void()> suspectHook)
    : crashFound(std::move(crashHook))
    , suspectFound(std::move(suspectHook))
    , quarantine(quarantineSettings())
{ }

void CrashCorrelator::recordBrokenConnection(const QByteArray &instance,
                                             const BrokenRequest &request)
{
    if (this->brokenRequests.size() > expiryThreshold)
        this->removeExpired(request.brokenAt);
    this->brokenRequests[instance].push_back(request);
}

void CrashCorrelator::recordCompleted(const QByteArray &digest, SteadyTime sentAt, SteadyTime now)
{
    if (!this->isRefutedBy(digest, sentAt, now))
        return;
    this->release(digest, now);
    if (this->suspectCompleted)
        this->suspectCompleted(digest, std::chrono::ceil<std::chrono::milliseconds>(now - sentAt));
}

void CrashCorrelator::addRemoteCompletion(const QByteArray &digest,
                                          std::chrono::milliseconds sinceSent, SteadyTime now)
{
    const auto sentAt = sinceSent.count() > 0 ? std::optional(now - sinceSent) : std::nullopt;
    if (this->isRefutedBy(digest, sentAt, now))
        this->release(digest, now);
}

bool CrashCorrelator::isRefutedBy(const QByteArray &digest, std::optional<SteadyTime> sentAt,
                                  SteadyTime now) const
{
    const QuarantineVerdict verdict = this->quarantine.verdict(digest, now);
    if (verdict != QuarantineVerdict::Quarantined)
        return verdict == QuarantineVerdict::Suspect;
    const auto counted = this->countedCrashes.find(digest);
    return counted == this->countedCrashes.end() || counted->second.separate < crashesToQuarantine
           || (sentAt && *sentAt > counted->second.last);
}

void CrashCorrelator::release(const QByteArray &digest, SteadyTime now)
{
    if (this->isQuarantined(digest, now))
        LogEvent(LogSeverity::Info, "quarantineEnded").field("digest", digest.toHex());
    this->quarantine.release(digest);
    this->countedCrashes.erase(digest);
    std::erase_if(this->undecided, [&digest](const auto &crash) { return crash.digest == digest; });
}

void CrashCorrelator::setCompletionHook(CompletionHook hook)
{
    this->suspectCompleted = std::move(hook);
}

void CrashCorrelator::recordReachable(const QByteArray &instance, SteadyTime reachableAt)
{
    const auto entry = this->brokenRequests.find(instance);
    if (entry == this->brokenRequests.end())
        return;
    std::erase_if(entry->second, [reachableAt](const BrokenRequest &request) {
        return request.brokenAt <= reachableAt;
    });
    if (entry->second.empty())
        this->brokenRequests.erase(entry);
}

void CrashCorrelator::recordUnreachable(const QByteArray &instance, SteadyTime now)
{
    this->dropOldFailures(now);
    this->failures.try_emplace(instance, Failure{now, {}});
    this->addCrashes(instance, now);
}

void CrashCorrelator::recordRefusing(const QByteArray &instance, SteadyTime now)
{
    this->addCrashes(instance, now);
}

void CrashCorrelator::addCrashes(const QByteArray &instance, SteadyTime now)
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
                std::chrono::floor<std::chrono::milliseconds>(now - request.brokenAt),
                request.turnDigest};
        // Other VMs need to know of the crashes of a quarantined request too, as these may coincide
        // with those of another one.
        if (!this->add(coincidence, now))
            continue;
        LogEvent(LogSeverity::Warning, "replicaCrashed")
                .field("replica", instance)
                .field("digest", request.contentDigest.toHex())
                .field("turnDigest", request.turnDigest.toHex())
                .field("quarantined",
                       this->isQuarantined(request.contentDigest, now, request.turnDigest));
        this->crashFound(coincidence);
    }
}

void CrashCorrelator::addRemoteCoincidence(const CrashCoincidence &coincidence, SteadyTime now)
{
    this->add(coincidence, now);
}

void CrashCorrelator::recordReturned(const QByteArray &instance)
{
    auto ended = this->failures.extract(instance);
    if (ended.empty())
        return;
    this->endedFailures.push_back(std::move(ended.mapped()));
    if (this->endedFailures.size() > maximumEndedFailures)
        this->endedFailures.pop_front();
}

bool CrashCorrelator::add(const CrashCoincidence &coincidence, SteadyTime now)
{
    bool isNew = this->addFailure(coincidence, now - coincidence.sinceCrash);
    isNew = this->addFor(coincidence.contentDigest, coincidence, now) || isNew;
    if (!coincidence.turnDigest.isEmpty())
        isNew = this->addFor(coincidence.turnDigest, coincidence, now) || isNew;
    return isNew;
}

bool CrashCorrelator::addFor(const QByteArray &digest, const CrashCoincidence &coincidence,
                             SteadyTime now)
{
    const SteadyTime crashedAt = now - coincidence.sinceCrash;
    const bool isKnown =
            std::any_of(this->undecided.begin(), this->undecided.end(), [&](const auto &crash) {
                return crash.digest == digest && crash.coincidence.crash == coincidence.crash;
            });
    const QuarantineVerdict verdict = this->quarantine.verdict(digest, now);
    if (verdict == QuarantineVerdict::Quarantined)
        this->recordFurtherCrash(digest, now - coincidence.sinceSent, crashedAt);
    if (isKnown || verdict == QuarantineVerdict::Quarantined)
        return false;
    const UndecidedCrash crash{digest,    coincidence,
                               crashedAt, now - coincidence.sinceSent,
                               false,     verdict == QuarantineVerdict::Suspect};
    this->dropOldCounts(now);
    std::deque<SteadyTime> &times = this->countedCrashes[digest].times;
    times.push_back(crashedAt);
    if (times.size() > maximumCrashTimes)
        times.pop_front();
    const bool isCounted = this->count(crash, now);
    if (this->undecided.size() >= maximumUndecided)
        return isCounted;
    this->undecided.push_back(crash);
    this->undecided.back().isCounted = isCounted;
    if (crash.isRepeated)
        this->suspectFound();
    return true;
}

bool CrashCorrelator::count(const UndecidedCrash &crash, SteadyTime now)
{
    const bool overlaps =
            crash.sentAt + noticeDelayTolerance < this->countedCrashes[crash.digest].last;
    if (overlaps || !this->record(crash, now))
        return false;
    ++this->countedCrashes[crash.digest].separate;
    return true;
}

bool CrashCorrelator::record(const UndecidedCrash &crash, SteadyTime now)
{
    CrashCoincidence coincidence = crash.coincidence;
    coincidence.contentDigest = crash.digest;
    if (!this->quarantine.record(coincidence, now))
        return false;
    CountedCrashes &counted = this->countedCrashes[crash.digest];
    counted.last = std::max(counted.last, crash.crashedAt);
    counted.turns.insert(crash.coincidence.turnDigest);
    return true;
}

void CrashCorrelator::recordFurtherCrash(const QByteArray &digest, SteadyTime sentAt,
                                         SteadyTime crashedAt)
{
    CountedCrashes &counted = this->countedCrashes[digest];
    if (sentAt > counted.last)
        ++counted.separate;
    counted.last = std::max(counted.last, crashedAt);
}

void CrashCorrelator::dropOldCounts(SteadyTime now)
{
    if (this->countedCrashes.size() <= expiryThreshold)
        return;
    std::erase_if(this->countedCrashes, [this, now](const auto &entry) {
        return now - entry.second.last > longestRun
               && this->quarantine.verdict(entry.first, now) == QuarantineVerdict::Clear;
    });
}

bool CrashCorrelator::addFailure(const CrashCoincidence &coincidence, SteadyTime crashedAt)
{
    const QByteArray crash = coincidence.crash.toUtf8();
    Failure &failure =
            this->failures.try_emplace(crash.left(crash.lastIndexOf('/')), Failure{crashedAt, {}})
                    .first->second;
    // The replica was started again meanwhile.
    if (crashedAt - failure.at > crashWindow)
        failure = {crashedAt, {}};
    const bool isNew = failure.digests.insert(coincidence.contentDigest).second;
    if (coincidence.turnDigest.isEmpty())
        return isNew;
    return failure.digests.insert(coincidence.turnDigest).second || isNew;
}

bool CrashCorrelator::hasCommonCause(const UndecidedCrash &crash, SteadyTime now) const
{
    std::ptrdiff_t others = 0;
    bool hasIdle = false;
    for (const auto &[instance, failure] : this->failures) {
        if (std::chrono::abs(failure.at - crash.crashedAt) > crashWindow
            || failure.digests.contains(crash.digest) || this->isExplained(failure, crash, now))
            continue;
        ++others;
        hasIdle = hasIdle || failure.digests.empty();
    }
    const bool isSign = hasIdle || others >= (crash.isCounted ? commonFailures : 1);
    return isSign && !this->hasUnrelatedFailures(crash, now);
}

bool CrashCorrelator::isExplained(const Failure &failure, const UndecidedCrash &crash,
                                  SteadyTime now) const
{
    // Of crashes at one moment, a request that was on a single replica is no better explanation
    // than a common cause.
    const std::ptrdiff_t enough = crash.isCounted ? 1 : 2;
    return std::any_of(failure.digests.begin(), failure.digests.end(), [&](const auto &digest) {
        return this->quarantine.verdict(digest, now) != QuarantineVerdict::Clear
               && this->failuresWith(digest) >= enough;
    });
}

std::ptrdiff_t CrashCorrelator::failuresWith(const QByteArray &digest) const
{
    return std::count_if(
            this->failures.begin(), this->failures.end(),
            [&digest](const auto &entry) { return entry.second.digests.contains(digest); });
}

bool CrashCorrelator::hasUnrelatedFailures(const UndecidedCrash &crash, SteadyTime now) const
{
    const auto known = this->countedCrashes.find(crash.digest);
    if (known == this->countedCrashes.end())
        return false;
    const auto isUnrelated = [&](const Failure &failure) {
        const bool isDuringCrash = std::any_of(
                known->second.times.begin(), known->second.times.end(), [&](const auto &time) {
                    return std::chrono::abs(failure.at - time) <= crashWindow;
                });
        return !isDuringCrash && now - failure.at <= failureRetention
               && !this->isExplained(failure, crash, now);
    };
    return std::any_of(this->endedFailures.begin(), this->endedFailures.end(), isUnrelated)
           || std::any_of(this->failures.begin(), this->failures.end(),
                          [&](const auto &entry) { return isUnrelated(entry.second); });
}

void CrashCorrelator::dropOldFailures(SteadyTime now)
{
    const auto isOld = [now](const Failure &failure) {
        return now - failure.at > failureRetention;
    };
    std::erase_if(this->failures, [&isOld](const auto &entry) { return isOld(entry.second); });
    std::erase_if(this->endedFailures, isOld);
}

void CrashCorrelator::decideCrashes(SteadyTime now)
{
    std::vector<UndecidedCrash> waiting;
    for (UndecidedCrash &crash : this->undecided) {
        if (now - crash.crashedAt < settlingTime) {
            waiting.push_back(std::move(crash));
            continue;
        }
        const QByteArray &digest = crash.digest;
        const bool hasCommonCause = this->hasCommonCause(crash, now);
        if (hasCommonCause && crash.isCounted)
            this->retract(crash);
        else if (!hasCommonCause && !crash.isCounted)
            this->record(crash, now);
        if (!crash.isRepeated)
            continue;
        LogEvent(LogSeverity::Warning, "crashDecided")
                .field("crash", crash.coincidence.crash)
                .field("digest", digest.toHex())
                .field("hasCommonCause", hasCommonCause)
                .field("quarantined", this->isQuarantined(digest, now));
    }
    this->undecided = std::move(waiting);
}

void CrashCorrelator::retract(const UndecidedCrash &crash)
{
    CrashCoincidence coincidence = crash.coincidence;
    coincidence.contentDigest = crash.digest;
    this->quarantine.retract(coincidence);
    --this->countedCrashes[crash.digest].separate;
}

bool CrashCorrelator::hasSuspects() const noexcept
{
    return this->quarantine.size() > 0;
}

bool CrashCorrelator::isQuarantined(const QByteArray &contentDigest, SteadyTime now,
                                    const QByteArray &turnDigest) const
{
    return this->quarantinedDigest(contentDigest, now, turnDigest).has_value();
}

std::optional<QByteArray> CrashCorrelator::quarantinedDigest(const QByteArray &contentDigest,
                                                             SteadyTime now,
                                                             const QByteArray &turnDigest) const
{
    const auto isRefused = [this, now](const QByteArray &digest) {
        return this->quarantine.verdict(digest, now) == QuarantineVerdict::Quarantined;
    };
    if (!turnDigest.isEmpty() && isRefused(turnDigest))
        return turnDigest;
    if (isRefused(contentDigest) && !this->isOnlyInOneTurn(contentDigest))
        return contentDigest;
    return std::nullopt;
}

bool CrashCorrelator::isUncertain(const QByteArray &digest) const
{
    const auto counted = this->countedCrashes.find(digest);
    return counted != this->countedCrashes.end() && counted->second.separate <= 1;
}

bool CrashCorrelator::mayBeTried(const QByteArray &digest, SteadyTime now) const
{
    return this->isUncertain(digest) && now - this->countedCrashes.at(digest).last >= trialDelay;
}

bool CrashCorrelator::isOnlyInOneTurn(const QByteArray &contentDigest) const
{
    const auto counted = this->countedCrashes.find(contentDigest);
    return counted != this->countedCrashes.end() && counted->second.turns.size() == 1
           && !counted->second.turns.begin()->isEmpty();
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
