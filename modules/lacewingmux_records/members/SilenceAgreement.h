#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/members/RecordsView.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    What the members of a group of records VMs report about each other's silence, and whether they
    agree that one of them has lost its place in the group.

    A place may be given to another VM only if neither the silent member nor those that do not
    report its silence can still form a quorum under the present view. Reports therefore count only
    if they were sent under that view. Reads no clock: the current time is a parameter.
*/
class SilenceAgreement
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit SilenceAgreement(const VmIncarnation &ownIncarnation);

    /** Adopts a view of the group. Reports from under the earlier view no longer count. */
    void setView(const RecordsView &groupView, SteadyTime now);

    /** Records a request of a member, sent under the present view, and the disk identities of the
        members from which it has received nothing for a while. */
    void recordRequest(const VmIncarnation &peer, const std::vector<std::uint64_t> &silentDisks,
                       SteadyTime now);

    /** Returns when the member's last request arrived, or when it was added to the view. */
    [[nodiscard]] SteadyTime lastRequestAt(const VmIncarnation &member) const;

    /** Returns whether this VM, which must be synced, may decide that a member is silent: all but
        toleratedDisks of the members whose copies count, and half of the members with all
        reservations, have recently reported it. */
    [[nodiscard]] bool isSilenceAgreed(const VmIncarnation &silent, SteadyTime now) const;

    /** Returns whether this VM may give the place of a silent member to a joining one, which must
        have sent a request recently. */
    [[nodiscard]] bool isPlaceLost(const VmIncarnation &silent, SteadyTime now) const;

private:
    struct Peer
    {
        SteadyTime lastRequestAt;
        SteadyTime reportedAt;
        bool hasReported = false; ///< under the present view
        std::set<std::uint64_t> silentDisks;
    };

    [[nodiscard]] bool hasReported(const VmIncarnation &reporter, SteadyTime now) const;
    [[nodiscard]] bool reportsSilence(const VmIncarnation &reporter, const VmIncarnation &silent,
                                      SteadyTime now) const;

    VmIncarnation self;
    RecordsView view;
    std::map<VmIncarnation, Peer> peers;
};

} // namespace lacewingmux
