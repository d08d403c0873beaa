#pragma once

#include <QByteArray>

namespace lacewingmux {

/** A request as it is written to a replica. */
struct ReplicaRequest
{
    QByteArray id; ///< as the request names it; empty if it names none
    QByteArray text;
    bool isHead = false; ///< the response has no body
};

} // namespace lacewingmux
