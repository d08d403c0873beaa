#include "lacewingmux_peer/handshake/PeerHandshake.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/hashing/ConstantTimeComparison.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"
#include "lacewingmux_peer/messages/peer_generated.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <QRandomGenerator>
#include <QtEndian>

#include <array>

namespace lacewingmux {

namespace {

constexpr qsizetype nonceBytes = 32;

[[noreturn]] void refuse(const QString &reason)
{
    throw LacewingmuxError(ErrorKind::ProtocolViolation, QStringLiteral("handshake: ") + reason);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
vectorOf(flatbuffers::FlatBufferBuilder &builder, const QByteArray &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.constData()),
                                static_cast<std::size_t>(bytes.size()));
}

template <typename Table>
const Table *verified(const QByteArray &payload)
{
    const Table *table = verifiedTable<Table>(payload);
    if (table == nullptr)
        refuse(QStringLiteral("damaged message"));
    return table;
}

QByteArray withLength(const QByteArray &bytes)
{
    QByteArray result(sizeof(quint32), Qt::Uninitialized);
    qToBigEndian(static_cast<quint32>(bytes.size()), result.data());
    return result + bytes;
}

PeerHandshake::Role otherRole(PeerHandshake::Role role)
{
    return role == PeerHandshake::Role::Dialler ? PeerHandshake::Role::Acceptor
                                                : PeerHandshake::Role::Dialler;
}

} // namespace

PeerHandshake::PeerHandshake(Role ownRole, QString fleetName, VmIncarnation ownIncarnation,
                             PeerChannel ownChannel, QByteArray sharedSecret,
                             const QByteArray &ownNonce)
    : role(ownRole)
    , fleet(std::move(fleetName))
    , own(std::move(ownIncarnation))
    , channel(ownChannel)
    , secret(std::move(sharedSecret))
{
    flatbuffers::FlatBufferBuilder builder;
    const auto fleetText = builder.CreateString(this->fleet.toStdString());
    const auto zoneText = builder.CreateString(this->own.zone.toStdString());
    const auto vmText = builder.CreateString(this->own.vm.toStdString());
    const auto nonce = vectorOf(builder, ownNonce);
    builder.Finish(fb::CreateHello(builder, peerProtocolVersion, fleetText, zoneText, vmText,
                                   this->own.incarnation, static_cast<std::uint8_t>(this->channel),
                                   nonce));
    this->ownHello = payloadOf(builder);
}

QByteArray PeerHandshake::makeNonce()
{
    std::array<quint32, nonceBytes / sizeof(quint32)> words{};
    QRandomGenerator::system()->fillRange(words.data(), words.size());
    return QByteArray(reinterpret_cast<const char *>(words.data()), nonceBytes);
}

void PeerHandshake::receiveHello(const QByteArray &payload)
{
    if (this->hasHello())
        refuse(QStringLiteral("second hello"));
    const auto *message = verified<fb::Hello>(payload);
    if (message->protocol_version() != peerProtocolVersion)
        refuse(QStringLiteral("protocol version %1, this daemon speaks %2")
                       .arg(message->protocol_version())
                       .arg(peerProtocolVersion));
    if (QString::fromStdString(message->fleet()->str()) != this->fleet)
        refuse(QStringLiteral("another fleet"));
    if (message->channel() != static_cast<std::uint8_t>(this->channel))
        refuse(QStringLiteral("another channel"));
    if (message->nonce()->size() != nonceBytes)
        refuse(QStringLiteral("nonce of a wrong length"));

    this->peerIncarnation = {QString::fromStdString(message->vm()->str()),
                             QString::fromStdString(message->zone()->str()),
                             message->incarnation()};
    this->peerHello = payload;
}

QByteArray PeerHandshake::proof() const
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreateHelloProof(builder, vectorOf(builder, this->proofOf(this->role))));
    return payloadOf(builder);
}

void PeerHandshake::receiveProof(const QByteArray &payload)
{
    if (!this->hasHello())
        refuse(QStringLiteral("proof before hello"));
    const auto *message = verified<fb::HelloProof>(payload);
    const QByteArray given(reinterpret_cast<const char *>(message->proof()->data()),
                           static_cast<qsizetype>(message->proof()->size()));
    if (!equalInConstantTime(given, this->proofOf(otherRole(this->role))))
        refuse(QStringLiteral("the peer does not hold the shared secret"));
}

QByteArray PeerHandshake::proofOf(Role prover) const
{
    const bool ownFirst = this->role == Role::Dialler;
    const QByteArray &diallerHello = ownFirst ? this->ownHello : this->peerHello;
    const QByteArray &acceptorHello = ownFirst ? this->peerHello : this->ownHello;
    QByteArray message = prover == Role::Dialler ? QByteArray("dialler") : QByteArray("acceptor");
    message += withLength(diallerHello) + withLength(acceptorHello);
    return QMessageAuthenticationCode::hash(message, this->secret, QCryptographicHash::Sha256);
}

} // namespace lacewingmux
