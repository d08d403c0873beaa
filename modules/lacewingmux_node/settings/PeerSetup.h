#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"

namespace lacewingmux {

struct NodeSettings;

/** Returns how a node listens for and reaches other nodes. */
[[nodiscard]] PeerHubSettings peerSettings(const NodeSettings &settings, const VmIncarnation &self);

} // namespace lacewingmux
