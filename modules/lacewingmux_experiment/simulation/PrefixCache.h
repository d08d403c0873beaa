#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

namespace lacewingmux::experiment {

/** Number of a program within a run. */
using ProgramNumber = std::uint32_t;

/** The prefixes that a replica holds of programs that don't run on it now; the least recently
    used gives way. */
class PrefixCache
{
public:
    /** Takes the prefix out, because a call of the program begins to run on it. Returns its
        tokens, 0 when there is none. */
    std::int64_t take(ProgramNumber program);

    /** Puts a prefix in as the most recent. */
    void put(ProgramNumber program, std::int64_t tokens);

    /** Evicts until at most the given tokens are held, and tells of each program evicted. */
    void shrinkTo(std::int64_t tokens, const std::function<void(ProgramNumber)> &evicted);

    /** Returns the tokens held. */
    [[nodiscard]] std::int64_t size() const noexcept
    {
        return this->heldTokens;
    }

    /** Calls with each program held and its tokens. */
    void forEach(const std::function<void(ProgramNumber, std::int64_t)> &visit) const;

    /** Forgets everything, as after a crash. */
    void clear();

private:
    struct Entry
    {
        std::int64_t tokens = 0;
        std::list<ProgramNumber>::iterator recency;
    };

    std::unordered_map<ProgramNumber, Entry> entries;
    std::list<ProgramNumber> byRecency; ///< most recent first
    std::int64_t heldTokens = 0;
};

} // namespace lacewingmux::experiment
