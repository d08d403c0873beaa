#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/members/RecordsView.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    Which part of the teams' rates a records VM may hand out, so that all parts together are never
    more than the whole.

    Each member has an even part, and may use it while a majority, itself included, has lately
    answered a question of its own. The part of a member that a majority has not heard for longer
    than that falls to the others: two majorities have a member in common, so the silent one has
    been out of use before. Pure; time is passed in, and must go on while the machine is suspended.
*/
class GrantLease
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit GrantLease(const VmIncarnation &ownIncarnation);

    /** Takes a view. */
    void setView(const RecordsView &newView, SteadyTime now);

    /** Notes a question of a member, and which others that member has not heard for long. */
    void noteHeard(const VmIncarnation &peer, const std::vector<std::uint64_t> &silentDisks,
                   SteadyTime now);

    /** Notes that a member has answered a question that was asked at the given time. */
    void noteAnswered(const VmIncarnation &peer, SteadyTime askedAt);

    /** Returns the disks of the members that were not heard for long. */
    [[nodiscard]] std::vector<std::uint64_t> silentDisks(SteadyTime now) const;

    /** Returns the part of the teams' rates that may be handed out now, from 0 to 1. */
    [[nodiscard]] double share(SteadyTime now) const;

private:
    struct Peer
    {
        SteadyTime heard;
        SteadyTime answered; ///< when the last question was asked that it answered
        bool everAnswered = false;
        std::set<std::uint64_t> finds; ///< disks of members that it has not heard
    };

    [[nodiscard]] bool isSilent(const Peer &peer, SteadyTime now) const;
    [[nodiscard]] bool isOutOfUse(const VmIncarnation &member, SteadyTime now) const;

    VmIncarnation self;
    RecordsView view;
    std::map<VmIncarnation, Peer> peers;
};

} // namespace lacewingmux
