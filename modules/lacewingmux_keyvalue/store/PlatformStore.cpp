#include "lacewingmux_keyvalue/store/PlatformStore.h"

namespace lacewingmux {

std::unique_ptr<PlatformStore::Watch>
PlatformStore::watchValue(const QByteArray &key, std::function<void(const QByteArray &)> callback)
{
    return this->watchPrefix(key, 0, [key, hook = std::move(callback)](const StoreRecord &record) {
        if (record.key == key && record.createRevision != 0)
            hook(record.value);
    });
}

} // namespace lacewingmux
