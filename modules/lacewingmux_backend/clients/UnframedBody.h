#pragma once

#include <QByteArray>

namespace lacewingmux {

/** Returns why a body that ended with its connection is not a whole answer, or null if nothing
    speaks against it. Its end is not marked, so a server that stops in the middle of its answer may
    close the connection in the same way. */
[[nodiscard]] const char *unframedBodyFault(const QByteArray &contentType, const QByteArray &body);

} // namespace lacewingmux
