#include "lacewingmux_node/settings/PlatformAdapter.h"

#include "lacewingmux_keyvalue/store/StoreRecord.h"

namespace lacewingmux {

std::function<bool(const StoreRecord &, const StoreRecord &)>
PlatformAdapter::replicaRelevance() const
{
    return [read = this->readReplica](const StoreRecord &before, const StoreRecord &after) {
        return read(before.key, before.value) != read(after.key, after.value);
    };
}

} // namespace lacewingmux
