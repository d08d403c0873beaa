#pragma once

#include "lacewingmux_scheduling/replicas/LoadReport.h"
#include "lacewingmux_scheduling/replicas/ReplicaDescriptor.h"
#include "lacewingmux_scheduling/replicas/ReplicaState.h"

#include <QString>

#include <map>
#include <optional>

namespace lacewingmux {

/** The naive twin of ReplicaChooser: the least loaded serving replica by its last report, ties
    going round; it knows neither prefixes nor what it sent since the report. */
class LeastReportedLoadChooser
{
public:
    LeastReportedLoadChooser() = default;
    LeastReportedLoadChooser(const LeastReportedLoadChooser &) = delete;
    LeastReportedLoadChooser &operator=(const LeastReportedLoadChooser &) = delete;

    /** Adds a replica as serving. */
    void setReplica(const ReplicaDescriptor &descriptor);

    /** Changes whether a replica may receive new calls. Unknown names are ignored. */
    void setState(const QString &name, ReplicaState state);

    /** Takes a load report. Unknown names are ignored. */
    void reportLoad(const QString &name, const LoadReport &report);

    /** Returns the least loaded serving replica whose report shows room, or nothing. */
    [[nodiscard]] std::optional<QString> choose();

private:
    struct Replica
    {
        int capacity = 1;
        int sequences = 0;
        ReplicaState state = ReplicaState::Serving;
        std::uint64_t lastChosen = 0;
    };

    std::map<QString, Replica> replicas;
    std::uint64_t choices = 0;
};

} // namespace lacewingmux
