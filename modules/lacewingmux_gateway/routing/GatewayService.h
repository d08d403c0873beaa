#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** One service that routes send to. */
struct GatewayService
{
    QByteArray name;
    bool isEngine = false;           ///< a model engine, with a cache of prompts
    std::int64_t tokensPerEvent = 1; ///< that an event of a stream stands for
};

} // namespace lacewingmux
