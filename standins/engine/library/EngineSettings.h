#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lacewingmux::standin {

/** Speed and size of an engine stand-in. */
struct EngineSettings
{
    std::chrono::microseconds stepTime{2000};           ///< of a step with one sequence
    std::chrono::microseconds stepTimePerSequence{100}; ///< added for each further sequence
    std::chrono::microseconds prefillTimePerToken{20};  ///< for prompt tokens not in the cache
    std::size_t maxSequences = 16;                      ///< running at once; others wait
    std::int64_t cacheTokens = 65536;                   ///< capacity of the prefix cache
    std::int64_t defaultOutputTokens = 16;              ///< where the request sets no max_tokens
    std::chrono::milliseconds loadLag{200};             ///< age of the load report
    std::chrono::milliseconds cacheEventLag{200};       ///< age at which cache events appear
    int cacheEventGap = 0;                              ///< every n-th event is lost; 0 for none
    bool checksFencing = true; ///< refuses orders below the highest fencing number seen
};

} // namespace lacewingmux::standin
