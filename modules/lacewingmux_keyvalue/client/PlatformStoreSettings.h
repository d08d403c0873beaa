#pragma once

#include "lacewingmux_keyvalue/client/WatchPace.h"

#include <QByteArray>
#include <QString>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace lacewingmux {

/** How a daemon reaches the platform's store. */
struct PlatformStoreSettings
{
    std::vector<QUrl> endpoints; ///< at least one; scheme, host and port
    QString clientName;          ///< sent as User-Agent, by which the platform counts calls
    double callsPerSecond = 20;
    double burstCalls = 40;
    std::chrono::milliseconds callTimeout{2000};
    std::chrono::milliseconds watchRenewal{60000}; ///< a silent watch is opened again after this
    std::uint64_t jitterSeed = 0;                  ///< should differ between daemons
    std::function<void(bool reachable)> contactChanged; ///< may be empty
    std::map<QByteArray, WatchPace> watchPaces;         ///< by prefix; others have the default
};

} // namespace lacewingmux
