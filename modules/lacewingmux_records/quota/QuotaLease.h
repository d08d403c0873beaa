#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/members/RecordsView.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    The share of the teams' rates that a records VM may grant, such that all shares together never
    exceed the whole.

    Each member has an equal share and may use it while a majority, including itself, has recently
    answered one of its requests. If a majority has not heard a member for longer than that, its
    share is divided among the others: two majorities have a member in common, so the lease of the
    silent member has already expired. Reads no clock: the current time is a parameter, and
    must advance while the machine is suspended.
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

    /** Records that a member has answered a request that was sent at the given time. */
    void recordAnswer(const VmIncarnation &peer, SteadyTime sentAt);

    /** Returns the disk identities of the members that are considered silent. */
    [[nodiscard]] std::vector<std::uint64_t> silentDisks(SteadyTime now) const;

    /** Returns the share of the teams' rates that may be granted now, from 0 to 1. */
    [[nodiscard]] double share(SteadyTime now) const;

private:
    struct Peer
    {
        SteadyTime lastHeard;
        SteadyTime lastAnswered; ///< send time of the last request that it answered
        bool everAnswered = false;
        std::set<std::uint64_t> silentPeers; ///< disk identities of members it considers silent
    };

    [[nodiscard]] bool isSilent(const Peer &peer, SteadyTime now) const;
    [[nodiscard]] bool hasLostLease(const VmIncarnation &member, SteadyTime now) const;

    VmIncarnation self;
    RecordsView view;
    std::map<VmIncarnation, Peer> peers;
};

} // namespace lacewingmux
