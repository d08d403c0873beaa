#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** One run of a daemon and where it listens for its peers. */
struct VmDescriptor
{
    VmIncarnation incarnation;
    QString address; ///< IP number
    std::uint16_t controlPort = 0;
    std::uint16_t trafficPort = 0;
    bool hasDataFolder = false;

    friend bool operator==(const VmDescriptor &, const VmDescriptor &) = default;
};

} // namespace lacewingmux
