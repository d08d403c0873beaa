#pragma once

#include "lacewingmux_keyvalue/client/HttpCallResult.h"
#include "lacewingmux_keyvalue/client/WatchPace.h"

#include <QByteArray>
#include <QNetworkRequest>
#include <QString>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/** How a daemon reaches the platform's store. */
struct PlatformStoreSettings
{
    /** Starts a GET and reports how it ended, at the latest after the timeout. Destroying the
        returned object aborts the call, whose callback is then never called. */
    using CallStarter = std::function<std::shared_ptr<void>(
            const QNetworkRequest &request, std::chrono::milliseconds timeout,
            std::function<void(const HttpCallResult &)> whenDone)>;

    std::vector<QUrl> endpoints; ///< at least one; scheme, host and port
    QString clientName;          ///< sent as User-Agent, by which the platform counts calls
    double callsPerSecond = 20;
    double burstCalls = 40;
    std::chrono::milliseconds callTimeout{2000};
    std::chrono::milliseconds watchRenewal{60000}; ///< a silent watch is opened again after this
    std::uint64_t jitterSeed = 0;                  ///< should differ between daemons
    std::function<void(bool reachable)> contactChanged; ///< may be empty
    std::map<QByteArray, WatchPace> watchPaces;         ///< by prefix; others have the default
    CallStarter startWatchCall; ///< for the calls of watches; empty: over HTTP
};

} // namespace lacewingmux
