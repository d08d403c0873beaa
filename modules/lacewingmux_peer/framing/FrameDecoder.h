#pragma once

#include "lacewingmux_peer/messages/PeerFrame.h"

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/**
    Cuts the bytes of one link into frames. Feed it what arrives, then take frames until there is
    none. After it has thrown, the link has to be closed: its bytes can't be told apart any more.
*/
class FrameDecoder
{
public:
    /** Makes a decoder that refuses frames of more bytes than the limit, without their length. */
    explicit FrameDecoder(qsizetype frameLimitBytes);

    /** Changes the limit for the frames to come. */
    void setLimit(qsizetype frameLimitBytes);

    /** Adds bytes that have arrived. */
    void append(const QByteArray &bytes);

    /**
        Returns the next whole frame, or nothing until more bytes arrive. Throws LacewingmuxError
        of kind ProtocolViolation when a frame is empty, longer than the limit, or no envelope.
    */
    [[nodiscard]] std::optional<PeerFrame> next();

private:
    void dropConsumed();

    qsizetype limitBytes;
    QByteArray buffer;
    qsizetype consumed = 0; ///< bytes at the start of the buffer that have been returned
};

} // namespace lacewingmux
