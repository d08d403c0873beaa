#include "lacewingmux_backend/replicas/ReplicaSet.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

ReplicaSet::ReplicaSet(std::vector<ReplicaSnapshot> list)
    : replicaList(std::move(list))
{
    std::sort(this->replicaList.begin(), this->replicaList.end(),
              [](const ReplicaSnapshot &left, const ReplicaSnapshot &right) {
                  return left.record.name < right.record.name;
              });
}

const ReplicaSnapshot *ReplicaSet::find(const QString &name) const
{
    const auto found = std::lower_bound(this->replicaList.begin(), this->replicaList.end(), name,
                                        [](const ReplicaSnapshot &replica, const QString &wanted) {
                                            return replica.record.name < wanted;
                                        });
    if (found == this->replicaList.end() || found->record.name != name)
        return nullptr;
    return &*found;
}

} // namespace lacewingmux
