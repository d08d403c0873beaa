#pragma once

#include "lacewingmux_records/members/RecordsView.h"

#include <optional>

namespace lacewingmux {

/** Decides which group of the records view a member belongs to. */
class RecordsGroups
{
public:
    /** Divides the members of a first start into groups. Called after each join, while all disks
       are still empty. A group has enough members to bear the loss of the tolerated disks, and the
        members of an availability zone are spread over the groups. */
    static void deal(RecordsView &view);

    /** Returns the group that a new member joins: the one that lacks most members, and among these
        the one with the fewest in the member's zone. */
    [[nodiscard]] static int groupForJoiner(const RecordsView &view, const VmIncarnation &joiner);

    /** Returns the view in which a standby of another group moves to the group of a silent member;
        nothing if that group already has a joining member, or no group has a standby. */
    [[nodiscard]] static std::optional<RecordsView> withStandbyMoved(const RecordsView &view,
                                                                     const VmIncarnation &silent);

    /** Returns the number of members that a joiner of the group must copy completely, so that it
        meets a copy of every record. */
    [[nodiscard]] static int syncSources(const RecordsView &groupView);
};

} // namespace lacewingmux
