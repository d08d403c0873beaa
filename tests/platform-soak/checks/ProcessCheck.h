#pragma once

#include "checks/Violation.h"

#include <vector>

namespace lacewingmux::soak {

struct SoakRecords;

/** Finds processes that ended though nobody stopped them, and kinds of calls of which none was
 * answered. */
[[nodiscard]] std::vector<Violation> checkProcesses(const SoakRecords &records);

} // namespace lacewingmux::soak
