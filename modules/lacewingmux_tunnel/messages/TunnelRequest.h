#pragma once

#include <QByteArray>
#include <QHostAddress>

#include <cstdint>

namespace lacewingmux {

/** Asks a VM to connect to an address. */
struct TunnelRequest
{
    QHostAddress address;
    std::uint16_t port = 0;
    QByteArray proof; ///< that the sender knows the secret of the deployment

    /** Returns the proof for an address: an HMAC-SHA-256 with the secret. */
    [[nodiscard]] static QByteArray proofFor(const QByteArray &secret, const QHostAddress &address,
                                             std::uint16_t port);
};

} // namespace lacewingmux
