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
    /** Number of synced members to copy completely before this one has all records; 0 if it is
       synced, or was when it began to leave. */
    int syncSources = 0;
    int group = 0; ///< the group of members that keep the same records
    /** While this member does not have all records: whether all that do have every record of the
       disk whose place it takes. Also true if it takes the place of no disk. */
    bool predecessorCopied = false;

    /** Returns whether the member has every acknowledged record, and can state that one does not
        exist. One that began to leave while it was joining has not copied all of them. */
    [[nodiscard]] bool hasAllRecords() const noexcept
    {
        return this->state == MemberState::Synced
               || (this->state == MemberState::Leaving && this->syncSources == 0);
    }

    friend bool operator==(const RecordsMember &, const RecordsMember &) = default;
};

} // namespace lacewingmux
