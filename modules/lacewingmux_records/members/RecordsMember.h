#pragma once

#include "lacewingmux_peer/messages/VmDescriptor.h"

#include <cstdint>

namespace lacewingmux {

/** The role of a records VM in a view. */
enum class MemberState : std::uint8_t {
    Joining, ///< stores writes, but can't state yet that a record does not exist; or is a standby
    Synced,  ///< has every acknowledged record
    Leaving  ///< answers requests, but its copies no longer count
};

/** One records VM of a view. Its incarnation identifies its disk and is kept across restarts. */
struct RecordsMember
{
    VmDescriptor vm;
    MemberState state = MemberState::Joining;
    int syncSources = 0; ///< while joining: number of synced members to copy completely
    int group = 0;       ///< the group of members that keep the same records
    /** While joining: whether all members that are not joining have every record of the disk whose
        place this one takes. Also true if it takes the place of no disk. */
    bool predecessorCopied = false;

    friend bool operator==(const RecordsMember &, const RecordsMember &) = default;
};

} // namespace lacewingmux
