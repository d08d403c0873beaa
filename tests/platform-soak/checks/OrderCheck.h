#pragma once

#include "checks/Violation.h"

#include <vector>

namespace lacewingmux::soak {

struct SoakRecords;

/** Finds streams with an event that is missing, repeated or not from the same run, and streams that
   end as complete before their last event. A stream that may be resumed may go on with another run.
 */
[[nodiscard]] std::vector<Violation> checkOrder(const SoakRecords &records);

} // namespace lacewingmux::soak
