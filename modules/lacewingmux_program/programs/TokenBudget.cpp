#include "lacewingmux_program/programs/TokenBudget.h"

#include <algorithm>

namespace lacewingmux {

TokenBudget::TokenBudget(std::int64_t limitTokens)
    : tokenLimit(limitTokens)
{ }

bool TokenBudget::canReserve(std::int64_t tokens) const noexcept
{
    if (this->tokenLimit <= 0)
        return true;
    return tokens <= this->tokenLimit - this->spentTokens - this->reservedByCalls;
}

void TokenBudget::reserve(std::int64_t tokens) noexcept
{
    this->reservedByCalls += tokens;
}

std::int64_t TokenBudget::chargeable(std::int64_t reservedTokens,
                                     std::int64_t usedTokens) const noexcept
{
    const std::int64_t used = std::max<std::int64_t>(usedTokens, 0);
    if (this->tokenLimit <= 0)
        return used;
    const std::int64_t free = this->tokenLimit - this->spentTokens - this->reservedByCalls;
    return std::min(used, reservedTokens + std::max<std::int64_t>(free, 0));
}

void TokenBudget::settle(std::int64_t reservedTokens, std::int64_t chargedTokens) noexcept
{
    this->reservedByCalls -= reservedTokens;
    this->spentTokens += chargedTokens;
}

bool TokenBudget::isExhausted() const noexcept
{
    return this->tokenLimit > 0 && this->spentTokens >= this->tokenLimit;
}

} // namespace lacewingmux
