#include "lacewingmux_peer/framing/FrameDecoder.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_peer/framing/FrameCodec.h"

#include <QtEndian>

namespace lacewingmux {

FrameDecoder::FrameDecoder(qsizetype frameLimitBytes)
    : limitBytes(frameLimitBytes)
{ }

void FrameDecoder::setLimit(qsizetype frameLimitBytes)
{
    this->limitBytes = frameLimitBytes;
}

void FrameDecoder::append(const QByteArray &bytes)
{
    this->dropConsumed();
    this->buffer.append(bytes);
}

std::optional<PeerFrame> FrameDecoder::next()
{
    const qsizetype available = this->buffer.size() - this->consumed;
    if (available < frameLengthBytes)
        return std::nullopt;

    const auto length = static_cast<qsizetype>(
            qFromBigEndian<quint32>(this->buffer.constData() + this->consumed));
    if (length == 0 || length > this->limitBytes)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("frame of %1 bytes, allowed are 1 to %2")
                                       .arg(length)
                                       .arg(this->limitBytes));
    if (available < frameLengthBytes + length) {
        // Growing with each part of a large frame would copy it several times.
        this->buffer.reserve(this->consumed + frameLengthBytes + length);
        return std::nullopt;
    }

    // A copy, since FlatBuffers wants its tables aligned.
    const QByteArray envelope = this->buffer.mid(this->consumed + frameLengthBytes, length);
    this->consumed += frameLengthBytes + length;
    std::optional<PeerFrame> frame = decodeEnvelope(envelope);
    if (!frame)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("frame of %1 bytes is no envelope").arg(length));
    return frame;
}

void FrameDecoder::dropConsumed()
{
    if (this->consumed == 0)
        return;
    this->buffer.remove(0, this->consumed);
    this->consumed = 0;
}

} // namespace lacewingmux
