#pragma once

#include <QByteArray>

namespace lacewingmux {

/** Tells whether a header of a call may be sent to a backend server: hop-by-hop fields, fields that
    the client sets itself, and everything that can carry a caller's key may not. */
[[nodiscard]] bool isForwardedToBackend(const QByteArray &name);

/** Tells whether a header of a backend server's answer may be passed on to the caller. */
[[nodiscard]] bool isForwardedToCaller(const QByteArray &name);

} // namespace lacewingmux
