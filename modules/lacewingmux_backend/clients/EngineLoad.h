#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** The load that an engine last reported; possibly outdated. */
struct EngineLoad
{
    int running = 0; ///< sequences in the current batch
    int waiting = 0; ///< sequences queued for the batch
    std::int64_t cachedTokens = 0;
    std::int64_t cacheCapacityTokens = 0; ///< 0 when unknown
    QString instance; ///< id of the engine's process instance; empty when not reported

    [[nodiscard]] int sequences() const noexcept
    {
        return this->running + this->waiting;
    }

    /** Returns the used fraction of the prefix cache, from 0 to 1. */
    [[nodiscard]] double memoryPressure() const noexcept
    {
        if (this->cacheCapacityTokens <= 0)
            return 0;
        return static_cast<double>(this->cachedTokens)
               / static_cast<double>(this->cacheCapacityTokens);
    }

    friend bool operator==(const EngineLoad &, const EngineLoad &) = default;
};

} // namespace lacewingmux
