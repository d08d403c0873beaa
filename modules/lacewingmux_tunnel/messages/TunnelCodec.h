#pragma once

#include "lacewingmux_peer/messages/PeerFrame.h"
#include "lacewingmux_tunnel/messages/TunnelRequest.h"
#include "lacewingmux_tunnel/messages/TunnelStatus.h"

#include <QByteArray>

#include <cstdint>
#include <optional>

class QIODevice;

namespace lacewingmux {

/** Encodes and decodes the frames at the start of a tunnel. */
class TunnelCodec
{
public:
    /** How much of a frame has arrived. */
    enum class ReadState : std::uint8_t { Incomplete, Complete, Malformed };

    /** Takes the first frame from the device, and leaves the bytes behind it. */
    [[nodiscard]] static ReadState readFrame(QIODevice &device, PeerFrame &frame);

    /** Returns the frame of a request, with its length. */
    [[nodiscard]] static QByteArray encodeRequest(const TunnelRequest &request);
    /** Returns the request of a frame; nothing if it is of another kind or malformed. */
    [[nodiscard]] static std::optional<TunnelRequest> decodeRequest(const PeerFrame &frame);

    /** Returns the frame of a reply, with its length. */
    [[nodiscard]] static QByteArray encodeReply(TunnelStatus status);
    /** Returns the status of a frame; nothing if it is of another kind or malformed. */
    [[nodiscard]] static std::optional<TunnelStatus> decodeReply(const PeerFrame &frame);
};

} // namespace lacewingmux
