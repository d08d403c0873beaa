#pragma once

#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** What a plan may use. */
struct Allowance
{
    QString plan;
    double requestsPerSecond = 0; ///< counted over the whole fleet
    double burstRequests = 1;
    double weight = 1; ///< share of contended replicas, relative to other plans
    std::int64_t programBudgetTokens =
            0;                         ///< input and output tokens of a program and its sub-agents
    std::int32_t programTurnLimit = 0; ///< calls of one program
    std::chrono::seconds programTimeout{3600};     ///< from opening to its end
    std::chrono::seconds programIdleTimeout{900};  ///< longest pause between two calls
    std::chrono::milliseconds queueTimeout{30000}; ///< longest wait for a replica
    std::chrono::milliseconds callTimeout{120000}; ///< longest run of one call
    std::chrono::seconds serveWithoutStore{0}; ///< how long keys stay valid unheard; 0 = for ever
};

} // namespace lacewingmux
