#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"

#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/** The inputs to the decision about a zone's next view. */
struct ViewProposalInput
{
    VmDescriptor self;
    ZoneRecord record;                  ///< from the platform's store; epoch 0 if absent
    bool leaving = false;               ///< this VM is in a planned stop
    bool memberHeardRecently = false;   ///< a zone VM was heard from within the failure timeout
    bool mayJoinWithoutContact = false; ///< the timeout for hearing from a member has passed
    bool mayRemoveSilent = true;        ///< slots are active since the last removal, or timed out
    std::vector<VmIncarnation> silent;  ///< watched members past the failure timeout
    std::vector<VmDescriptor> joiners;  ///< VMs that asked this VM to add them to the view
    std::set<VmIncarnation> gone;       ///< VMs that the platform lists as no longer running
};

/**
    Returns the members of the zone's next view, or nothing if no change is needed. Pure function.

    The rules maintain two properties: a sole member is never replaced unless it is known to have
    stopped, and a slot loses both its holders at once only when this can't be avoided.

    - A new incarnation replaces the earlier one of its VM, which must have ended.
    - A joiner adds itself. Only the sole member of a view of one VM adds others to that view,
      since it must know of the new epoch before any other VM acts in it.
    - A member removes all VMs that the platform lists as gone together, and silent VMs one by one.
    - A leaving member removes itself, unless it is the last member.
*/
[[nodiscard]] std::optional<std::vector<VmDescriptor>>
proposeMembers(const ViewProposalInput &proposalInput);

} // namespace lacewingmux
