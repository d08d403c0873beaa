#pragma once

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

/**
    Distinguishes replicas that crash while running a request from mere connection failures.

    A closed connection counts as a crash only if the replica becomes unreachable shortly
    afterwards. A request is quarantined after crashes of three replicas. A crash counts at once if
    the run began after the crash counted before. Of runs that overlap, as those of a request that
    was sent to several VMs at once, the other crashes count a moment later, unless a replica
    without the request failed at about that time: such failures have a common cause. A crash that
    was counted is taken back if several such replicas failed, or an idle one. No sign of a common
    cause are failures that another suspected request explains, as several requests may crash
    replicas at the same time, nor any failures while replicas also fail at other times.

    Another request that ran during one of these crashes is not quarantined, because it is retried
    on a healthy replica; one that a replica has answered and survived is no longer suspected, at
    any VM. Such an answer also ends the quarantine of a request whose crashes may have had one
    common cause, because their runs overlapped. After three crashes one after the other, only the
    answer to a run that began later does.

    A request is recognised by its content, as its caller sent it. One that continues a turn is also
    recognised together with that turn: replicas get the whole conversation, so equal inputs of
    other conversations are not refused for the crashes of one. The content itself is refused once
    it has crashed replicas in more than one conversation. Reads no clock: the current time is a
    parameter.
*/
class CrashCorrelator
{
public:
    using SteadyTime = TimerService::SteadyTime;
    using CrashHook = std::function<void(const CrashCoincidence &)>;
    /** Receives the digest of a suspected request that a replica has answered, and the age of the
        run. */
    using CompletionHook =
            std::function<void(const QByteArray &digest, std::chrono::milliseconds sinceSent)>;

    /** The first hook receives each crash detected on this VM, so that other VMs can be notified.
        The second is called when a request has crashed a second replica, so that other failures of
        that time are found. */
    CrashCorrelator(CrashHook crashHook, std::function<void()> suspectHook);

    /** A request whose connection to a replica was closed, before its response was complete or as
        the end of a response without a length. */
    struct BrokenRequest
    {
        QByteArray contentDigest;
        std::int64_t startMilliseconds = 0; ///< start time of the replica, Unix time
        SteadyTime sentAt;
        SteadyTime brokenAt;
        QByteArray turnDigest{}; ///< empty if the request continues no turn
    };

    /** Records that a replica closed the connection of the request. */
    void recordBrokenConnection(const QByteArray &instance, const BrokenRequest &request);

    /** Records that a replica has answered a run of the request, of which this is the digest of the
        content or of the turn, and is still reachable. */
    void recordCompleted(const QByteArray &digest, SteadyTime sentAt, SteadyTime now);

    /** Records that a replica was still reachable at the time. */
    void recordReachable(const QByteArray &instance, SteadyTime reachableAt);

    /** Records that a replica is unreachable. */
    void recordUnreachable(const QByteArray &instance, SteadyTime now);

    /** Records that a replica accepts no connections for another reason than a failure: it was
        leaving, or still serves the connections that it has. Requests that it broke off count as
        with any other replica, but it is no sign of a common cause of crashes. */
    void recordRefusing(const QByteArray &instance, SteadyTime now);

    /** Adds a crash coincidence that another VM observed. */
    void addRemoteCoincidence(const CrashCoincidence &coincidence, SteadyTime now);

    /** Records the same of another VM. The age of the run is 0 if that VM does not state it. */
    void addRemoteCompletion(const QByteArray &digest, std::chrono::milliseconds sinceSent,
                             SteadyTime now);

    /** Sets the hook by which other VMs are notified of answers to suspected requests. */
    void setCompletionHook(CompletionHook hook);

    /** Records that a replica is reachable again, or has been replaced under its id. */
    void recordReturned(const QByteArray &instance);

    /** Decides whether crashes count about whose time enough is known by now. Must be called
        several times a second. */
    void decideCrashes(SteadyTime now);

    /** Tells whether any request is suspected or quarantined. */
    [[nodiscard]] bool hasSuspects() const noexcept;

    /** Tells whether the request is quarantined, so that it must not be sent to a replica. The
        digest of the turn is empty if the request continues none. */
    [[nodiscard]] bool isQuarantined(const QByteArray &contentDigest, SteadyTime now,
                                     const QByteArray &turnDigest = {}) const;

    /** Returns the digest, of the content or of the turn, by which the request is quarantined. */
    [[nodiscard]] std::optional<QByteArray>
    quarantinedDigest(const QByteArray &contentDigest, SteadyTime now,
                      const QByteArray &turnDigest = {}) const;

    /** Tells whether all crashes of a quarantined request may have had one common cause, as they
        came at one moment. A single run tells it from a request that crashes replicas. */
    [[nodiscard]] bool isUncertain(const QByteArray &digest) const;

    /** Tells whether the replicas that crashed at that moment have had time to return, so that such
        a run may be tried. */
    [[nodiscard]] bool mayBeTried(const QByteArray &digest, SteadyTime now) const;

private:
    /** A replica that became unreachable, and the requests that ran on it. */
    struct Failure
    {
        SteadyTime at;
        std::set<QByteArray> digests;
    };

    /** A crash of which it is not decided yet whether it had another cause than the request. */
    struct UndecidedCrash
    {
        QByteArray digest; ///< of the content or of the turn
        CrashCoincidence coincidence;
        SteadyTime crashedAt;
        SteadyTime sentAt;
        bool isCounted = false;
        bool isRepeated = false; ///< not the first crash during a run of the request
    };

    /** The crashes of one request that count. */
    struct CountedCrashes
    {
        SteadyTime last;
        int separate = 0;           ///< those whose runs began after the crash counted before
        std::set<QByteArray> turns; ///< that the runs continued; an empty one if one continued none
        std::deque<SteadyTime> times; ///< of the latest crashes, also of those that do not count
    };

    /** Adds a crash for each request that the replica broke off shortly before. */
    void addCrashes(const QByteArray &instance, SteadyTime now);
    /** Adds a crash. Returns whether it was not known. */
    bool add(const CrashCoincidence &coincidence, SteadyTime now);
    /** The same for the content or the turn of the request, as which the digest is given. */
    bool addFor(const QByteArray &digest, const CrashCoincidence &coincidence, SteadyTime now);
    /** Records the crash of a run that began before the request was quarantined, or as a trial. */
    void recordFurtherCrash(const QByteArray &digest, SteadyTime sentAt, SteadyTime crashedAt);
    void dropOldCounts(SteadyTime now);
    /** Tells whether all counted crashes of a content came from requests that continue one turn. */
    [[nodiscard]] bool isOnlyInOneTurn(const QByteArray &contentDigest) const;
    /** Counts a crash, unless the run began before the last crash counted. */
    bool count(const UndecidedCrash &crash, SteadyTime now);
    /** Counts a crash; returns whether it was not known. */
    bool record(const UndecidedCrash &crash, SteadyTime now);
    /** Takes back a crash that counted at once. */
    void retract(const UndecidedCrash &crash);
    /** Records that the replica failed during a run of the request; returns whether that is new. */
    bool addFailure(const CrashCoincidence &coincidence, SteadyTime crashedAt);
    /** Returns whether the answer to a run that was sent at the time shows that the request did
        not cause the crashes; without a time, that run may have begun before any of them. */
    [[nodiscard]] bool isRefutedBy(const QByteArray &digest, std::optional<SteadyTime> sentAt,
                                   SteadyTime now) const;
    void release(const QByteArray &digest, SteadyTime now);
    /** Returns whether other replicas failed at about the time, without a run of the request, and
        for no reason of their own. */
    [[nodiscard]] bool hasCommonCause(const UndecidedCrash &crash, SteadyTime now) const;
    /** Returns whether another suspected request may have caused the failure. */
    [[nodiscard]] bool isExplained(const Failure &failure, const UndecidedCrash &crash,
                                   SteadyTime now) const;
    /** Returns whether replicas also fail when the request crashes none, so that their failures say
        nothing about its crashes. */
    [[nodiscard]] bool hasUnrelatedFailures(const UndecidedCrash &crash, SteadyTime now) const;
    [[nodiscard]] std::ptrdiff_t failuresWith(const QByteArray &digest) const;
    void dropOldFailures(SteadyTime now);
    void removeExpired(SteadyTime now);

    CrashHook crashFound;
    std::function<void()> suspectFound;
    CompletionHook suspectCompleted;
    Quarantine quarantine;
    std::unordered_map<QByteArray, std::vector<BrokenRequest>> brokenRequests; ///< by instance
    std::unordered_map<QByteArray, CountedCrashes> countedCrashes;             ///< by digest
    std::map<QByteArray, Failure> failures; ///< recent ones, by instance
    std::deque<Failure> endedFailures;      ///< recent ones of replicas that have returned
    std::vector<UndecidedCrash> undecided;
};

} // namespace lacewingmux
