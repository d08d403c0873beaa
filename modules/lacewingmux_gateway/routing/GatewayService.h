#pragma once

#include <QByteArray>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** One service that routes send to. */
struct GatewayService
{
    QByteArray name;
    bool isEngine = false;           ///< a model engine with a prompt cache
    std::int64_t tokensPerEvent = 1; ///< tokens that one event of a stream represents
    /** How long a replica may stay cold after a start. */
    std::chrono::milliseconds coldStartTime{0};
    /** Requests per second that a cold replica takes from all VMs together; 0 means no limit. */
    double coldRequestsPerSecond = 0;
};

} // namespace lacewingmux
