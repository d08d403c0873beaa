#include "lacewingmux_peer/framing/FrameCodec.h"

#include "lacewingmux_peer/messages/peer_generated.h"

#include <QtEndian>

namespace lacewingmux {

QByteArray encodeFrame(const PeerFrame &frame)
{
    flatbuffers::FlatBufferBuilder builder(frame.payload.size() + frameOverheadBytes);
    const auto payload =
            builder.CreateVector(reinterpret_cast<const std::uint8_t *>(frame.payload.constData()),
                                 static_cast<std::size_t>(frame.payload.size()));
    builder.Finish(fb::CreateEnvelope(builder, static_cast<std::uint16_t>(frame.kind), frame.epoch,
                                      frame.correlation, payload));

    QByteArray result(frameLengthBytes, Qt::Uninitialized);
    qToBigEndian(static_cast<quint32>(builder.GetSize()), result.data());
    result.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return result;
}

std::optional<PeerFrame> decodeEnvelope(const QByteArray &envelope)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(envelope.constData());
    flatbuffers::Verifier verifier(bytes, static_cast<std::size_t>(envelope.size()));
    if (!fb::VerifyEnvelopeBuffer(verifier))
        return std::nullopt;

    const fb::Envelope *message = fb::GetEnvelope(bytes);
    PeerFrame frame;
    frame.kind = static_cast<FrameKind>(message->kind());
    frame.epoch = message->epoch();
    frame.correlation = message->correlation();
    if (const auto *payload = message->payload())
        frame.payload = QByteArray(reinterpret_cast<const char *>(payload->data()),
                                   static_cast<qsizetype>(payload->size()));
    return frame;
}

} // namespace lacewingmux
