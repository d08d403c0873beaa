#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** One service that routes send to. */
struct GatewayService
{
    QByteArray name;
    int maximumConnections = 100;    ///< that a replica accepts from all callers together
    bool isEngine = false;           ///< a model engine, with a cache of prompts
    std::int64_t tokensPerEvent = 1; ///< that an event of a stream stands for
    std::int64_t cacheTokens = 0;    ///< that a replica's memory holds
};

} // namespace lacewingmux
