#pragma once

#include "lacewingmux_peer/messages/FrameKind.h"

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** One message between two daemons. */
struct PeerFrame
{
    FrameKind kind = FrameKind::Ping;
    std::uint64_t epoch = 0; ///< the sender's epoch of its zone view, or 0 where it has no meaning
    std::uint64_t correlation = 0; ///< joins a reply to its request; chosen by the requester
    QByteArray payload;            ///< the FlatBuffers table of the kind
};

} // namespace lacewingmux
