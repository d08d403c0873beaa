#pragma once

#include "lacewingmux_scheduling/admission/TurnPriorityRequest.h"

namespace lacewingmux {

/**
    Computes the priority of a request at a replica, from 0, which is served first, to 9.

    Plain calls precede streams. Streams are ordered by classes of their program's slack, and in
    each class programs in progress precede new ones. A program in progress that can no longer
   finish within its target comes after all others in progress, in one rank with long new programs;
   a new one that cannot comes last. A call's rank rises with the time that it has waited and with
   the time since its program's target passed, so that late programs are not starved.
*/
class TurnPriority
{
public:
    /** Returns the priority of the call. */
    [[nodiscard]] static int of(const TurnPriorityRequest &request);

private:
    [[nodiscard]] static int ofPlainCall(const TurnPriorityRequest &request);
    [[nodiscard]] static int ofStream(const TurnPriorityRequest &request);
    /** Returns the rank of a stream by its program's slack, before aging. */
    [[nodiscard]] static int streamRank(const TurnPriorityRequest &request);
    /** Returns whether the program cannot finish within its target even if this is its last call.
     */
    [[nodiscard]] static bool isLate(const TurnPriorityRequest &request);
    /** Returns the ranks by which the call rises for the time that it has waited. */
    [[nodiscard]] static int agingRanks(const TurnPriorityRequest &request);
};

} // namespace lacewingmux
