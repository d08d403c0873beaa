#include "lacewingmux_node/settings/PeerSetup.h"

#include "lacewingmux_node/settings/NodeSettings.h"

namespace lacewingmux {

PeerHubSettings peerSettings(const NodeSettings &settings, const VmIncarnation &self)
{
    using std::chrono::milliseconds;
    PeerHubSettings peers;
    peers.self = self;
    peers.fleet = QStringLiteral("lacewingmux");
    peers.channel = PeerChannel::Traffic;
    peers.address = settings.address;
    peers.port = settings.peerPort;
    peers.sharedSecret = settings.sharedSecret;
    // Turns wait for records VMs, so an unresponsive link is closed within about a second.
    peers.handshakeTimeout = milliseconds(900);
    peers.pingInterval = milliseconds(300);
    peers.missedPingLimit = 3;
    peers.longestReconnect = milliseconds(250);
    return peers;
}

} // namespace lacewingmux
