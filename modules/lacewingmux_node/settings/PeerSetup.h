#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"

namespace lacewingmux {

struct NodeSettings;

/** Returns the settings of a node's connections to other nodes. */
[[nodiscard]] PeerHubSettings peerSettings(const NodeSettings &settings, const VmIncarnation &self);

} // namespace lacewingmux
