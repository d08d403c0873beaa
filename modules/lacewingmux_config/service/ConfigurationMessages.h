#pragma once

#include "lacewingmux_config/service/RevisionSet.h"
#include "lacewingmux_config/service/ZoneInForce.h"

#include <QByteArray>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingmux {

/** A record of the platform's store on its way from daemon to daemon. */
struct ConfigurationFile
{
    QByteArray storeKey;
    QByteArray value;
};

/** What a daemon has in force, and how long ago it was sure that the store had nothing newer. */
struct ConfigurationAnnouncement
{
    RevisionSet revisions;
    std::optional<std::chrono::milliseconds> storeAge; ///< empty when it never heard of the store
    std::vector<ConfigurationFile> files; ///< in the answer to a request: what was newer
};

} // namespace lacewingmux
