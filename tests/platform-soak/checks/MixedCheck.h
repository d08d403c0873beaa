#pragma once

#include "checks/Violation.h"

#include <vector>

namespace lacewingmux::soak {

struct SoakRecords;

/** Finds answers with parts of another request's answer, successes without a replica's stamp, and
    bytes that belong to no request. */
[[nodiscard]] std::vector<Violation> checkMixed(const SoakRecords &records);

} // namespace lacewingmux::soak
