#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/members/RecordsView.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    Whether a records VM may grant its parts of the teams' rates, and which other members may not,
    such that all parts together never exceed the whole.

    A member has a lease while a majority, including itself, has recently answered one of its
    requests. If a majority has not heard a member for longer than that, the member has lost its
    lease: two majorities have a member in common. Its parts then pass to the next in rank.

    Reads no clock: the current time is a parameter, and must advance while the machine is
   suspended.
*/
class QuotaLease
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit QuotaLease(const VmIncarnation &ownIncarnation);

    void setView(const RecordsView &newView, SteadyTime now);

    /** Records a request of a member, and which other members it considers silent. */
    void recordRequest(const VmIncarnation &peer, const std::vector<std::uint64_t> &silentDisks,
                       SteadyTime now);

    /** Records that a member has answered a request that was sent at the given time, and whether it
        recently considered this VM silent, so that another one may have taken over. */
    void recordAnswer(const VmIncarnation &peer, SteadyTime sentAt, bool foundSilent,
                      SteadyTime now);

    /** Returns the disk identities of the members that are considered silent, and remembers them
        for wasFoundSilent(). */
    [[nodiscard]] std::vector<std::uint64_t> reportSilentDisks(SteadyTime now);

    /** Returns whether the member was recently reported as silent. */
    [[nodiscard]] bool wasFoundSilent(const VmIncarnation &peer, SteadyTime now) const;

    /** Returns whether this VM has a lease. */
    [[nodiscard]] bool isHeld(SteadyTime now) const;

    /** Returns this VM's fraction of a team's rate, from 0 to 1: it holds one of the parts if it is
        among that many members, in order of rank, that have not lost their lease. */
    [[nodiscard]] double share(const std::vector<VmIncarnation> &ranking, int parts,
                               SteadyTime now) const;

    /** Detects changes; must be called several times a second. */
    void update(SteadyTime now);

    /** Returns since when this VM has had its lease and no other member has lost or regained one;
        meaningless while this VM has none. */
    [[nodiscard]] SteadyTime unchangedSince() const noexcept
    {
        return this->changedAt;
    }

    /** Returns a number that increases when another member may have held parts of this VM, so that
        tokens from before are no longer valid. */
    [[nodiscard]] std::uint64_t generation() const noexcept
    {
        return this->takeoverCount;
    }

private:
    struct Peer
    {
        SteadyTime lastHeard;
        SteadyTime lastAnswered; ///< send time of the last request that it answered
        bool everAnswered = false;
        std::set<std::uint64_t> silentPeers; ///< disk identities of members it considers silent
        SteadyTime reportedSilentAt;         ///< last time it was reported as silent
        bool everReportedSilent = false;
    };

    [[nodiscard]] bool isSilent(const Peer &peer, SteadyTime now) const;
    [[nodiscard]] bool hasLostLease(const VmIncarnation &member, SteadyTime now) const;

    VmIncarnation self;
    RecordsView view;
    std::map<VmIncarnation, Peer> peers;
    std::set<VmIncarnation> leaseless; ///< members without a lease at the last update
    SteadyTime changedAt;
    std::uint64_t takeoverCount = 0;
    SteadyTime lastTakeoverAt;
};

} // namespace lacewingmux
