#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/PeerChannel.h"

#include <QByteArray>
#include <QString>

#include <cstdint>

namespace lacewingmux {

/** Version of the protocol between daemons. Daemons of different versions don't link. */
inline constexpr std::uint32_t peerProtocolVersion = 1;

/**
    One end of the handshake of a link.

    Both ends send a hello with protocol version, fleet, their own incarnation, the channel and a
    fresh nonce. Each then proves that it holds the shared secret: the proof is the HMAC-SHA256
    under that secret over the end's role and both hellos, so over both nonces too. A proof can be
    neither replayed on another link nor sent back to the end that made it.

    Trust: whoever holds the shared secret (or, with TLS, a certificate of the fleet's authority)
    is a daemon of the fleet and is trusted fully. The daemons defend against strangers and
    against damaged frames, not against each other. Without TLS the frames themselves are neither
    encrypted nor signed, so the shared secret alone is for networks where nobody can change what
    passes between VMs.
*/
class PeerHandshake
{
public:
    /** Which end of the link this is. */
    enum class Role : std::uint8_t { Dialler, Acceptor };

    PeerHandshake(Role ownRole, QString fleetName, VmIncarnation ownIncarnation,
                  PeerChannel ownChannel, QByteArray sharedSecret, const QByteArray &ownNonce);

    /** Returns a nonce from the system's secure generator. */
    [[nodiscard]] static QByteArray makeNonce();

    /** Returns the payload of this end's Hello. */
    [[nodiscard]] const QByteArray &hello() const noexcept
    {
        return this->ownHello;
    }

    /**
        Takes the peer's Hello. Throws LacewingmuxError of kind ProtocolViolation when it is
        damaged or differs in version, fleet or channel.
    */
    void receiveHello(const QByteArray &payload);

    /** Returns the payload of this end's HelloProof. Valid after receiveHello. */
    [[nodiscard]] QByteArray proof() const;

    /** Checks the peer's HelloProof; throws ProtocolViolation when it isn't the right one. */
    void receiveProof(const QByteArray &payload);

    /** Returns who the peer says it is. Valid after receiveHello, proved after receiveProof. */
    [[nodiscard]] const VmIncarnation &peer() const noexcept
    {
        return this->peerIncarnation;
    }

    /** Tells whether the peer's Hello has come. */
    [[nodiscard]] bool hasHello() const noexcept
    {
        return !this->peerHello.isEmpty();
    }

private:
    [[nodiscard]] QByteArray proofOf(Role prover) const;

    Role role;
    QString fleet;
    VmIncarnation own;
    PeerChannel channel;
    QByteArray secret;
    QByteArray ownHello;
    QByteArray peerHello;
    VmIncarnation peerIncarnation;
};

} // namespace lacewingmux
