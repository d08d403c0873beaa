#pragma once

#include "lacewingmux_backend/clients/EngineLoad.h"
#include "lacewingmux_backend/replicas/ReplicaRecord.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QString>

#include <optional>
#include <vector>

namespace lacewingmux {

/** A load report with the time it was taken. */
struct MeasuredLoad
{
    EngineLoad load;
    TimerService::SteadyTime measuredAt;
};

/** What is known of one replica. */
struct ReplicaSnapshot
{
    ReplicaRecord record;
    bool leaving = false;             ///< it receives no new work
    std::optional<MeasuredLoad> load; ///< the latest report, where one came
};

/**
    The replicas of this VM's own zone at one moment, immutable. Handed from the control thread to
    the traffic threads as std::shared_ptr<const ReplicaSet>.
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

    /** Returns the replica with the name, or null. */
    [[nodiscard]] const ReplicaSnapshot *find(const QString &name) const;

private:
    std::vector<ReplicaSnapshot> replicaList; ///< ordered by name
};

} // namespace lacewingmux
