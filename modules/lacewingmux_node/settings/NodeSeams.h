#pragma once

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <QByteArray>

#include <functional>
#include <memory>
#include <optional>

namespace lacewingmux {

class MetricsRecorder;
class PlatformStore;
class RoutingTable;
class TimerService;

/** What a deployment's platform has in a form of its own, translated for the nodes. */
struct NodeSeams
{
    /** Makes the client of the platform's store; the hook is told when contact is lost or found. */
    std::function<std::unique_ptr<PlatformStore>(TimerService &, MetricsRecorder &,
                                                 std::function<void(bool reachable)>)>
            makeStore;

    CallDialect dialect;

    QByteArray configurationKey; ///< of the operators' configuration in the store
    std::function<std::shared_ptr<const RoutingTable>(const QByteArray &document)>
            readConfiguration;

    QByteArray replicaPrefix; ///< of the replicas' entries in the store
    std::function<std::optional<ReplicaInstance>(const QByteArray &key, const QByteArray &document)>
            readReplica;

    QByteArray retirementKey;       ///< under which this VM is told to empty itself
    QByteArray retirementStatusKey; ///< where it says how far it is
    QByteArray retirementRunning;   ///< the document that says that it is at it
    QByteArray retirementDone;      ///< the document that says that its disk may go
};

} // namespace lacewingmux
