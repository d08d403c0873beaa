#include "lacewingmux_scheduling/naive/LeastReportedLoadChooser.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

void LeastReportedLoadChooser::setReplica(const ReplicaDescriptor &descriptor)
{
    this->replicas[descriptor.name].capacity = std::max(1, descriptor.capacity);
}

void LeastReportedLoadChooser::setState(const QString &name, ReplicaState state)
{
    const auto found = this->replicas.find(name);
    if (found != this->replicas.end())
        found->second.state = state;
}

void LeastReportedLoadChooser::reportLoad(const QString &name, const LoadReport &report)
{
    const auto found = this->replicas.find(name);
    if (found != this->replicas.end())
        found->second.sequences = report.sequences;
}

std::optional<QString> LeastReportedLoadChooser::choose()
{
    auto best = this->replicas.end();
    const auto key = [](const Replica &replica) {
        return std::pair(static_cast<double>(replica.sequences) / replica.capacity,
                         replica.lastChosen);
    };
    for (auto candidate = this->replicas.begin(); candidate != this->replicas.end(); ++candidate) {
        const Replica &replica = candidate->second;
        if (replica.state != ReplicaState::Serving || replica.sequences >= replica.capacity)
            continue;
        if (best == this->replicas.end() || key(replica) < key(best->second))
            best = candidate;
    }
    if (best == this->replicas.end())
        return std::nullopt;
    best->second.lastChosen = ++this->choices;
    return best->first;
}

} // namespace lacewingmux
