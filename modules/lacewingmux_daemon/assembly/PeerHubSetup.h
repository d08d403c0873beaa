#pragma once

#include "lacewingmux_peer/links/PeerHubSettings.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"

namespace lacewingmux {

struct DaemonSettings;

/** Describes this run of the daemon, as its peers see it, with the given incarnation number. */
[[nodiscard]] VmDescriptor describeSelf(const DaemonSettings &settings, std::uint64_t incarnation);

/**
    Makes the settings of one channel's hub. Reads the files of the shared secret and of TLS, and
    throws LacewingmuxError of kind ConfigurationInvalid when one of them can't be used.
*/
[[nodiscard]] PeerHubSettings hubSettingsOf(const DaemonSettings &settings,
                                            const VmIncarnation &self, PeerChannel channel);

/** Returns the seeds as peers of whom nothing but their control address is known. */
[[nodiscard]] std::vector<VmDescriptor> seedPeersOf(const DaemonSettings &settings);

} // namespace lacewingmux
