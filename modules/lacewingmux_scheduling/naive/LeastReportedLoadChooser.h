#pragma once

#include "lacewingmux_scheduling/replicas/LoadReport.h"
#include "lacewingmux_scheduling/replicas/ReplicaDescriptor.h"
#include "lacewingmux_scheduling/replicas/ReplicaState.h"

#include <QString>

#include <map>
#include <optional>

namespace lacewingmux {

/** Baseline for ReplicaChooser: chooses the serving replica with the lowest last reported load and
    breaks ties in favour of the least recently chosen. It considers neither cached prefixes nor
    the calls that it sent since the report. */
class LeastReportedLoadChooser
{
public:
    LeastReportedLoadChooser() = default;
    LeastReportedLoadChooser(const LeastReportedLoadChooser &) = delete;
    LeastReportedLoadChooser &operator=(const LeastReportedLoadChooser &) = delete;

    /** Adds a replica in the serving state, or changes the capacity of an existing one. */
    void setReplica(const ReplicaDescriptor &descriptor);

    /** Sets whether a replica may receive new calls. Unknown names are ignored. */
    void setState(const QString &name, ReplicaState state);

    /** Updates a replica's load from a report. Unknown names are ignored. */
    void reportLoad(const QString &name, const LoadReport &report);

    /** Returns the least loaded serving replica whose report shows room, or nothing if none has
        any. */
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
