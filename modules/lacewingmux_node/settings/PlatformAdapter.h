#pragma once

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace lacewingmux {

class MetricsRecorder;
class PlatformStore;
class RoutingTable;
class TimerService;
struct StoreRecord;

/** The platform-specific store client, HTTP fields, keys and document parsers of a node. */
struct PlatformAdapter
{
    /** Creates the client of the platform's store. The callback is called when the connection to
        the store is lost or restored. */
    std::function<std::unique_ptr<PlatformStore>(TimerService &, MetricsRecorder &,
                                                 std::function<void(bool reachable)>)>
            createStore;

    CallDialect dialect;

    QByteArray configurationKey; ///< store key of the operators' configuration
    std::function<std::shared_ptr<const RoutingTable>(const QByteArray &document)>
            readConfiguration;

    QByteArray replicaPrefix; ///< store key prefix of the replica entries
    std::function<std::optional<ReplicaInstance>(const QByteArray &key, const QByteArray &document)>
            readReplica;

    /** Returns a function that tells whether a change of a replica entry matters: heartbeats and
        other writers change entries without changing the replica. */
    [[nodiscard]] std::function<bool(const StoreRecord &before, const StoreRecord &after)>
    replicaRelevance() const;

    /** Store key prefix of the requests to evacuate a zone, followed by the zone; empty if the
        deployment does not evacuate zones. */
    QByteArray evacuationPrefix;
    /** How long after a request to evacuate a zone its replicas may still get calls. */
    std::chrono::milliseconds evacuationLimit{0};

    QByteArray retirementPrefix;    ///< store key prefix of the requests to retire a VM
    QByteArray retirementKey;       ///< store key of the request to retire this VM
    QByteArray retirementStatusKey; ///< store key of the retirement status of this VM
    QByteArray retirementRunning;   ///< status document while the retirement is in progress
    QByteArray retirementDone;      ///< status document once the disk may be removed
};

} // namespace lacewingmux
