#pragma once

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/** The load that a replica reports about itself in a response. */
struct ReplicaLoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /** How long work takes on the replica's machine at this moment, in hundredths of the usual
       time; nothing if the replica does not report it. */
    std::optional<int> pace;
};

/** The metadata in the head of a replica's response. */
struct ReplicaResponseInfo
{
    QByteArray requestId;     ///< the request id as echoed by the replica
    bool notExecuted = false; ///< the replica promises that it did not run the request
    bool wrongInstance = false;
    bool isLeaving = false;        ///< the replica announces that it is leaving
    bool hasServerStamp = false;   ///< has the replica's stamp, which a success must carry
    bool hasContentCoding = false; ///< has a content coding, which was not requested
    std::optional<ReplicaLoadReport> load;
    std::optional<QByteArray> invalidLoad; ///< text of a load report that is not valid
    std::optional<double> requestLimit; ///< requests per second that it takes from all VMs together
    /** How long the replica says that it stays cold; 0 if it says that it is not cold. */
    std::optional<std::chrono::milliseconds> coldRemaining;
    std::optional<int> keepAliveSeconds; ///< after which the replica closes an idle connection
};

} // namespace lacewingmux
