#pragma once

#include <cstdint>

namespace lacewingmux {

/**
    The token budget of a program and its sub-agents: the limit, the tokens spent, and the tokens
    reserved for running calls. Spent and reserved tokens together never exceed the limit.
*/
class TokenBudget
{
public:
    /** Creates a budget; a limit of 0 means unlimited. */
    explicit TokenBudget(std::int64_t limitTokens);

    /** Returns whether the budget has room for a call that may use this many tokens. */
    [[nodiscard]] bool canReserve(std::int64_t tokens) const noexcept;

    /** Reserves the tokens. The caller must have checked canReserve. */
    void reserve(std::int64_t tokens) noexcept;

    /**
        Returns how many tokens a call is charged: the tokens used, at most its reservation plus the
        unreserved rest of the budget.
    */
    [[nodiscard]] std::int64_t chargeable(std::int64_t reservedTokens,
                                          std::int64_t usedTokens) const noexcept;

    /** Releases a reservation and charges the amount that chargeable returned. */
    void settle(std::int64_t reservedTokens, std::int64_t chargedTokens) noexcept;

    /** Returns whether the whole limit is spent. */
    [[nodiscard]] bool isExhausted() const noexcept;

    [[nodiscard]] std::int64_t limit() const noexcept
    {
        return this->tokenLimit;
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
    std::int64_t tokenLimit;
    std::int64_t spentTokens = 0;
    std::int64_t reservedByCalls = 0;
};

} // namespace lacewingmux
