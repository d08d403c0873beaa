#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_zone/membership/ZoneRecord.h"

#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/** All that the decision about a zone's next view depends on. */
struct ViewSituation
{
    VmDescriptor self;
    ZoneRecord record;        ///< as the platform's store holds it; epoch 0 when absent
    bool leaving = false;     ///< this VM stops as planned
    bool heardMember = false; ///< a member of the record's view was heard lately
    bool joinUnheard = false; ///< this VM has tried long enough to hear a member
    bool mayDropNext = true;  ///< the slots have settled since someone went, or had their time
    std::vector<VmIncarnation> silent; ///< members that this VM watches and hears no more
    std::vector<VmDescriptor> joiners; ///< VMs that asked this one to be taken in
    std::set<VmIncarnation> gone;      ///< of whom the platform says that they don't run
};

/**
    Decides the members of the zone's next view, or that none is needed. Pure.

    The rules keep two things true: a VM that serves alone is never replaced unless it is known not
    to run, and a slot loses both its holders at once only when nothing better can be had.

    - A new incarnation takes the place of the earlier one of its VM, which has surely ended.
    - A joiner adds itself, but to a view of one VM only that VM adds others: it must know of the
      new epoch before anyone else acts in it.
    - A member drops VMs that the platform says have gone, all at once, and silent ones singly.
    - A leaving member takes itself out, unless it is the last.
*/
[[nodiscard]] std::optional<std::vector<VmDescriptor>>
proposeMembers(const ViewSituation &situation);

} // namespace lacewingmux
