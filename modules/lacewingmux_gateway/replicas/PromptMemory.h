#pragma once

#include "lacewingmux_gateway/calls/PromptPart.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

/**
    Which replicas have read which parts of prompts, as far as this VM has sent them there. Bounded:
    the parts that were used least recently are forgotten.
*/
class PromptMemory
{
public:
    explicit PromptMemory(std::size_t partLimit);

    /** Notes that the replica has read all parts. */
    void note(const QByteArray &instance, const std::vector<PromptPart> &parts);

    /** Returns how many tokens at the start of the prompt the replica has read before. */
    [[nodiscard]] std::int64_t knownTokens(const QByteArray &instance,
                                           const std::vector<PromptPart> &parts) const;

    /** Forgets what the replica has read, after it started anew. */
    void forget(const QByteArray &instance);

private:
    struct Entry
    {
        std::vector<std::uint32_t> readers; ///< numbers of instances
        std::list<std::uint64_t>::iterator place;
    };

    [[nodiscard]] std::uint32_t numberOf(const QByteArray &instance);

    std::size_t limit;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::list<std::uint64_t> byUse; ///< most recent first
    std::unordered_map<QByteArray, std::uint32_t> numbers;
    std::uint32_t nextNumber = 0;
};

} // namespace lacewingmux
