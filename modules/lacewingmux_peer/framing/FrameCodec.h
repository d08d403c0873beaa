#pragma once

#include "lacewingmux_peer/messages/PeerFrame.h"

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** Bytes of the length that stands before each frame, unsigned and big-endian. */
inline constexpr qsizetype frameLengthBytes = 4;

/** Bytes that a frame adds to its payload at most: its length and its envelope. */
inline constexpr qsizetype frameOverheadBytes = 128;

/** Returns the frame as it goes over a link: its length, then its envelope. */
[[nodiscard]] QByteArray encodeFrame(const PeerFrame &frame);

/** Returns the frame in one envelope, without its length; nothing when the bytes are not one. */
[[nodiscard]] std::optional<PeerFrame> decodeEnvelope(const QByteArray &envelope);

} // namespace lacewingmux
