#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux::flood {

/** The settings of one run. */
struct FloodSettings
{
    std::uint32_t seed = 1;
    int faultyReplicas = 12;
    int requestsPerCaller = 6;
    QString binaryFolder;
    QString folder; ///< for settings, data and logs
};

} // namespace lacewingmux::flood
