#pragma once

#include <QString>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace lacewingmux::soak {

/** What the command line says of a run. */
struct SoakSettings
{
    std::uint32_t seed = 1;
    std::chrono::seconds duration{60};
    int processCount = 15; ///< records VMs, entry VMs and replicas
    int streamCallers = 50;
    int plainCallers = 20;
    bool replicasStutter = false;
    bool linksAreCut = false; ///< between entry VMs and replicas
    QString binaryFolder;
    QString daemonFolder; ///< of lacewingmuxd
    QString folder;       ///< for settings, data and logs

    /** The number of records VMs. */
    static constexpr int recordsVmCount = 3;

    /** Returns the number of entry VMs. */
    [[nodiscard]] int entryVmCount() const noexcept
    {
        return std::max(3, (this->processCount - recordsVmCount) / 4);
    }

    /** Returns the number of replicas of each of the three services. */
    [[nodiscard]] int replicasPerService() const noexcept
    {
        return std::max(2, (this->processCount - recordsVmCount - this->entryVmCount()) / 3);
    }
};

} // namespace lacewingmux::soak
