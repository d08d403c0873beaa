#include "lacewingmux_experiment/simulation/PrefixCache.h"

namespace lacewingmux::experiment {

std::int64_t PrefixCache::take(ProgramNumber program)
{
    const auto found = this->entries.find(program);
    if (found == this->entries.end())
        return 0;
    const std::int64_t tokens = found->second.tokens;
    this->heldTokens -= tokens;
    this->byRecency.erase(found->second.recency);
    this->entries.erase(found);
    return tokens;
}

void PrefixCache::put(ProgramNumber program, std::int64_t tokens)
{
    this->take(program);
    this->byRecency.push_front(program);
    this->entries.emplace(program, Entry{tokens, this->byRecency.begin()});
    this->heldTokens += tokens;
}

void PrefixCache::shrinkTo(std::int64_t tokens, const std::function<void(ProgramNumber)> &evicted)
{
    while (this->heldTokens > tokens && !this->byRecency.empty()) {
        const ProgramNumber program = this->byRecency.back();
        this->take(program);
        evicted(program);
    }
}

void PrefixCache::forEach(const std::function<void(ProgramNumber, std::int64_t)> &visit) const
{
    for (const auto &[program, entry] : this->entries)
        visit(program, entry.tokens);
}

void PrefixCache::clear()
{
    this->entries.clear();
    this->byRecency.clear();
    this->heldTokens = 0;
}

} // namespace lacewingmux::experiment
