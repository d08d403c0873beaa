#include "lacewingmux_peer/links/PeerHub.h"

namespace lacewingmux {

bool PeerHub::isResponsive(const VmIncarnation &peer, std::chrono::milliseconds) const
{
    return this->isConnected(peer);
}

} // namespace lacewingmux
