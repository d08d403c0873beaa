#pragma once

#include <QByteArray>

namespace lacewingmux {

class ReplicaConnection;

/** Returns why a body that ended with its length or its last chunk is not a whole answer, or null
    if nothing speaks against it. A body that is cut may be filled up by the beginning of another
    answer on the same connection. A body may quote an answer, unless that is one to a request that
    the connection has carried; a text that quotes one may end within it only if it names no
    request. */
[[nodiscard]] const char *framedBodyFault(const QByteArray &contentType, const QByteArray &body,
                                          const ReplicaConnection &connection);

} // namespace lacewingmux
