#pragma once

#include <string>

namespace lacewingmux {

/**
    Runs a node on the operators' platform until a planned stop has completed, and returns the exit
    code of the process. The role is "front" or "records".
*/
[[nodiscard]] int runPlatformNode(const std::string &role);

} // namespace lacewingmux
