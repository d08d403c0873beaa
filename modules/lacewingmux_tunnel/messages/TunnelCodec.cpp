#include "lacewingmux_tunnel/messages/TunnelCodec.h"

#include "lacewingmux_peer/framing/FrameCodec.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"
#include "lacewingmux_tunnel/messages/tunnel_generated.h"

#include <QIODevice>
#include <QtEndian>

namespace lacewingmux {

namespace {

// Far above a request, which takes about 150 bytes.
constexpr qsizetype maximumFrameBytes = 1024;

} // namespace

TunnelCodec::ReadState TunnelCodec::readFrame(QIODevice &device, PeerFrame &frame)
{
    const QByteArray prefix = device.peek(frameLengthBytes);
    if (prefix.size() < frameLengthBytes)
        return ReadState::Incomplete;
    const auto length = static_cast<qsizetype>(qFromBigEndian<quint32>(prefix.constData()));
    if (length == 0 || length > maximumFrameBytes)
        return ReadState::Malformed;
    if (device.bytesAvailable() < frameLengthBytes + length)
        return ReadState::Incomplete;
    device.skip(frameLengthBytes);
    const std::optional<PeerFrame> decoded = decodeEnvelope(device.read(length));
    if (!decoded)
        return ReadState::Malformed;
    frame = *decoded;
    return ReadState::Complete;
}

QByteArray TunnelCodec::encodeRequest(const TunnelRequest &request)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto address = builder.CreateString(request.address.toString().toStdString());
    const auto proof = createBytes(builder, request.proof);
    builder.Finish(fb::CreateTunnelRequest(builder, address, request.port, proof));
    return encodeFrame({FrameKind::TunnelRequest, 0, 0, payloadOf(builder)});
}

std::optional<TunnelRequest> TunnelCodec::decodeRequest(const PeerFrame &frame)
{
    if (frame.kind != FrameKind::TunnelRequest)
        return std::nullopt;
    const auto *table = verifiedTable<fb::TunnelRequest>(frame.payload);
    if (table == nullptr)
        return std::nullopt;
    TunnelRequest request;
    request.address = QHostAddress(QString::fromStdString(table->address()->str()));
    request.port = table->port();
    request.proof = bytesOf(table->proof());
    if (request.address.isNull() || request.port == 0)
        return std::nullopt;
    return request;
}

QByteArray TunnelCodec::encodeReply(TunnelStatus status)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreateTunnelReply(builder, static_cast<std::uint8_t>(status)));
    return encodeFrame({FrameKind::TunnelReply, 0, 0, payloadOf(builder)});
}

std::optional<TunnelStatus> TunnelCodec::decodeReply(const PeerFrame &frame)
{
    if (frame.kind != FrameKind::TunnelReply)
        return std::nullopt;
    const auto *table = verifiedTable<fb::TunnelReply>(frame.payload);
    if (table == nullptr || table->status() > static_cast<std::uint8_t>(TunnelStatus::Rejected))
        return std::nullopt;
    return static_cast<TunnelStatus>(table->status());
}

} // namespace lacewingmux
