#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/PeerChannel.h"

#include <QByteArray>
#include <QHostAddress>
#include <QSslConfiguration>
#include <QString>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/** Size of the largest frame, with its envelope, that peers exchange. */
inline constexpr qsizetype defaultFrameLimitBytes = qsizetype{16} * 1024 * 1024;

/** How a TcpPeerHub listens, proves itself and bounds its links. */
struct PeerHubSettings
{
    VmIncarnation self;
    QString fleet;
    PeerChannel channel = PeerChannel::Control;
    QHostAddress address{QHostAddress::LocalHost}; ///< to listen on and to dial from
    std::uint16_t port = 0;                        ///< 0 lets the system choose
    QByteArray sharedSecret;                       ///< may be empty when TLS is set
    std::optional<QSslConfiguration> tls; ///< certificate, key and authority; both ends verify

    qsizetype frameLimitBytes = defaultFrameLimitBytes;
    qsizetype sendBufferLimitBytes =
            qsizetype{64} * 1024 * 1024; ///< a link that would pass it is closed
    int handshakeLimit = 256;            ///< connections that may be in their handshake at once
    std::chrono::milliseconds handshakeTimeout{5000};
    std::chrono::milliseconds pingInterval{1000};
    int missedPingLimit = 3; ///< silent ping intervals after which a link is dead
    std::chrono::milliseconds idleTimeout{60000}; ///< of links to peers that nobody wants
    std::chrono::milliseconds shortestReconnect{50};
    std::chrono::milliseconds longestReconnect{2000};
};

} // namespace lacewingmux
