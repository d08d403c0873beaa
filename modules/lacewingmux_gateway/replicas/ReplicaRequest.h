#pragma once

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** A request as it is written to a replica. */
struct ReplicaRequest
{
    QByteArray id; ///< as the request names it; empty if it names none
    QByteArray text;
    bool isHead = false; ///< the response has no body
    /** Written behind the text without being copied, for large bodies. */
    std::vector<QByteArray> following{};
};

} // namespace lacewingmux
