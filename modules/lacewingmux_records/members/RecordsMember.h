#pragma once

#include "lacewingmux_peer/messages/VmDescriptor.h"

#include <cstdint>

namespace lacewingmux {

/** How far a records VM takes part. */
enum class MemberState : std::uint8_t {
    Joining, ///< stores what is written, but can't say yet what does not exist; or stands by
    Synced,  ///< has all that was ever acknowledged
    Leaving  ///< answers, but nothing that it stores counts any more
};

/** One records VM of a view. Its incarnation is that of its disk, and outlives restarts. */
struct RecordsMember
{
    VmDescriptor vm;
    MemberState state = MemberState::Joining;
    int syncSources = 0; ///< while joining: synced members from which it has to copy everything

    friend bool operator==(const RecordsMember &, const RecordsMember &) = default;
};

} // namespace lacewingmux
