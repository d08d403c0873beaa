#pragma once

#include "checks/Violation.h"

#include <vector>

namespace lacewingmux::soak {

struct SoakRecords;

/** Finds requests that may run once and ran more often. */
[[nodiscard]] std::vector<Violation> checkTwice(const SoakRecords &records);

} // namespace lacewingmux::soak
