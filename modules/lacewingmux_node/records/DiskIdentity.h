#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** The number by which a disk is known, however often the process on it restarts. */
struct DiskIdentity
{
    std::uint64_t number = 0;
    bool isNew = false; ///< the disk was empty
};

/** Returns the identity that the data folder holds, and gives it a new one when it is empty.
    Throws LacewingmuxError when the folder can't be used. */
[[nodiscard]] DiskIdentity identifyDisk(const QString &folder);

} // namespace lacewingmux
