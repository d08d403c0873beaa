#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** One service that routes send to. */
struct GatewayService
{
    QByteArray name;
    bool isEngine = false;           ///< a model engine with a prompt cache
    std::int64_t tokensPerEvent = 1; ///< tokens that one event of a stream represents
};

} // namespace lacewingmux
