#pragma once

#include <cstdint>

namespace lacewingmux {

/**
    The tokens of a program and its sub-agents: a limit, what was spent, and what is reserved for
    calls that run. Spent and reserved together never exceed the limit.
*/
class TokenBudget
{
public:
    /** Makes a budget; a limit of 0 means that there is none. */
    explicit TokenBudget(std::int64_t limitTokens);

    /** Tells whether a call that may use so many tokens fits. */
    [[nodiscard]] bool canReserve(std::int64_t tokens) const noexcept;

    /** Reserves the tokens. The caller has asked canReserve before. */
    void reserve(std::int64_t tokens) noexcept;

    /**
        Returns what a call may be charged that reserved and used so many tokens: its use, up to its
        reservation and whatever else is free.
    */
    [[nodiscard]] std::int64_t chargeable(std::int64_t reservedTokens,
                                          std::int64_t usedTokens) const noexcept;

    /** Gives a reservation back and charges what chargeable returned. */
    void settle(std::int64_t reservedTokens, std::int64_t chargedTokens) noexcept;

    /** Tells whether nothing is left for any call. */
    [[nodiscard]] bool isExhausted() const noexcept;

    [[nodiscard]] std::int64_t limit() const noexcept
    {
        return this->limitOfTokens;
    }
    [[nodiscard]] std::int64_t spent() const noexcept
    {
        return this->spentTokens;
    }
    [[nodiscard]] std::int64_t reserved() const noexcept
    {
        return this->reservedByCalls;
    }

private:
    std::int64_t limitOfTokens;
    std::int64_t spentTokens = 0;
    std::int64_t reservedByCalls = 0;
};

} // namespace lacewingmux
