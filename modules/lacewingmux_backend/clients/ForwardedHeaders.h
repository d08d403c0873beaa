#pragma once

#include <QByteArray>

namespace lacewingmux {

/** Returns whether a header of a call may be sent to a backend server. Hop-by-hop fields, fields
    that the client sets itself and fields that can carry a caller's key may not. */
[[nodiscard]] bool isForwardedToBackend(const QByteArray &name);

/** Returns whether a header of a backend server's response may be passed on to the caller. */
[[nodiscard]] bool isForwardedToCaller(const QByteArray &name);

} // namespace lacewingmux
