#pragma once

#include "lacewingmux_config/service/ConfigurationPeers.h"

#include <QString>

#include <functional>
#include <memory>
#include <vector>

namespace lacewingmux {

class Configuration;
class KeyRing;

/** What a ConfigurationService asks of the daemon and tells it, all on the control thread. */
struct ConfigurationHooks
{
    /** Returns whom to tell, from the views as they are now. */
    std::function<ConfigurationPeers()> peers;

    /** Takes each newer configuration. May be left empty. */
    std::function<void(std::shared_ptr<const Configuration>)> onConfiguration;

    /** Takes each newer set of keys. May be left empty. */
    std::function<void(std::shared_ptr<const KeyRing>)> onKeyRing;

    /** Takes the ids of keys that were just withdrawn: their work has to end. May be empty. */
    std::function<void(const std::vector<QString> &keyIds)> onKeysWithdrawn;
};

} // namespace lacewingmux
