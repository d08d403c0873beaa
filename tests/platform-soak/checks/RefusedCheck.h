#pragma once

#include "checks/Violation.h"

#include <vector>

namespace lacewingmux::soak {

struct SoakRecords;

/** Finds requests that may run once, were answered with the promise that they don't run, and ran.
 */
[[nodiscard]] std::vector<Violation> checkRefused(const SoakRecords &records);

} // namespace lacewingmux::soak
