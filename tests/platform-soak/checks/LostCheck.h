#pragma once

#include "checks/Violation.h"

#include <vector>

namespace lacewingmux::soak {

struct SoakRecords;

/** Finds requests that an entry VM had read and whose connection ended without a complete answer,
    though their replica was sound and their time was not up. These are no such cases: a request
    that crosses the close of an idle connection; one that its replica still worked on in the last
    sixth of a planned stop, if it was sent no later than 3 s after the stop began; one at a VM
   whose process was paused meanwhile or up to 3 s before. */
[[nodiscard]] std::vector<Violation> checkLost(const SoakRecords &records);

} // namespace lacewingmux::soak
