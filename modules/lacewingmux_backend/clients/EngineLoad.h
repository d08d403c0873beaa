#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** What an engine reports of itself; possibly a while old. */
struct EngineLoad
{
    int running = 0; ///< sequences in its batch
    int waiting = 0; ///< sequences that wait to get in
    std::int64_t cachedTokens = 0;
    std::int64_t cacheCapacityTokens = 0; ///< 0 when unknown
    QString instance; ///< names this run of the engine's process; empty when not told

    [[nodiscard]] int sequences() const noexcept
    {
        return this->running + this->waiting;
    }

    /** Returns the part of the prefix cache that is in use, from 0 to 1. */
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
