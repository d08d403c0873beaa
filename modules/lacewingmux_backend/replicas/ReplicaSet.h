#pragma once

#include "lacewingmux_backend/clients/EngineLoad.h"
#include "lacewingmux_backend/replicas/ReplicaRecord.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QString>

#include <optional>
#include <vector>

namespace lacewingmux {

/** A load report and the time of its measurement. */
struct MeasuredLoad
{
    EngineLoad load;
    TimerService::SteadyTime measuredAt;
};

/** The known state of one replica. */
struct ReplicaSnapshot
{
    ReplicaRecord record;
    bool leaving = false;             ///< whether the replica is draining and gets no new work
    std::optional<MeasuredLoad> load; ///< the latest report, if any
};

/**
    An immutable snapshot of the replicas in this VM's zone. The control thread passes it to the
    traffic threads as std::shared_ptr<const ReplicaSet>.
*/
class ReplicaSet
{
public:
    ReplicaSet() = default;
    explicit ReplicaSet(std::vector<ReplicaSnapshot> replicaList);

    [[nodiscard]] const std::vector<ReplicaSnapshot> &replicas() const noexcept
    {
        return this->replicaList;
    }

    /** Returns the replica with the given name, or null. */
    [[nodiscard]] const ReplicaSnapshot *find(const QString &name) const;

private:
    std::vector<ReplicaSnapshot> replicaList; ///< ordered by name
};

} // namespace lacewingmux
