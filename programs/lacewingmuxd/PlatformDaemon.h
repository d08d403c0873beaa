#pragma once

#include <string>

namespace lacewingmux {

/**
    Runs a node on the operators' platform until a planned stop has completed, and returns the exit
    code of the process. The role is "front" or "records"; the features to switch off are separated
    by commas.
*/
[[nodiscard]] int runPlatformNode(const std::string &role, const std::string &disabledFeatures);

} // namespace lacewingmux
