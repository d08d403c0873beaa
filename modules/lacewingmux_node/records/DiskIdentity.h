#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** The number that identifies a disk; it does not change when the process restarts. */
struct DiskIdentity
{
    std::uint64_t number = 0;
    bool isNew = false; ///< the disk held no complete identity
};

/** Returns the identity stored in the data folder, or stores a new one if there is none or the
    stored one is incomplete. Throws LacewingmuxError if the identity file cannot be written. */
[[nodiscard]] DiskIdentity loadOrCreateDiskIdentity(const QString &folder);

} // namespace lacewingmux
