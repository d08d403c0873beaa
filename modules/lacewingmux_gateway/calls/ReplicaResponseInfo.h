#pragma once

#include <QByteArray>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** The load that a replica tells of itself in an answer. */
struct ReplicaLoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** What the head of a replica's answer says about the call. */
struct ReplicaResponseInfo
{
    QByteArray requestId;     ///< the request that this answers, as the replica echoes it
    bool notExecuted = false; ///< the replica promises that it did not run the request
    bool wrongInstance = false;
    bool hasServerStamp = false;   ///< it carries the replica's stamp, which a success must have
    bool hasContentCoding = false; ///< has a content coding, which nobody asked for
    std::optional<ReplicaLoadReport> load;
    std::optional<int> keepAliveSeconds; ///< after which the replica closes an idle connection
};

} // namespace lacewingmux
