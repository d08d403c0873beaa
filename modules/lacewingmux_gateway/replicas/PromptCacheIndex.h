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
    Tracks which replicas have cached which prompt parts, based on the prompts that this VM sent.
    Bounded: the least recently used parts are evicted.
*/
class PromptCacheIndex
{
public:
    explicit PromptCacheIndex(std::size_t partLimit);

    /** Records that the replica has processed all parts. */
    void recordPrompt(const QByteArray &instance, const std::vector<PromptPart> &parts);

    /** Returns the number of tokens in the prompt's longest prefix that the replica has cached. */
    [[nodiscard]] std::int64_t cachedTokens(const QByteArray &instance,
                                            const std::vector<PromptPart> &parts) const;

    /** Removes all entries of the replica, after it restarted or left. */
    void removeInstance(const QByteArray &instance);

private:
    struct Entry
    {
        std::vector<std::uint32_t> instanceNumbers; ///< instances that cached the part
        std::list<std::uint64_t>::iterator recencyPosition;
    };

    [[nodiscard]] std::uint32_t numberOf(const QByteArray &instance);

    std::size_t limit;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::list<std::uint64_t> byRecency; ///< most recently used first
    std::unordered_map<QByteArray, std::uint32_t> numbers;
    std::uint32_t nextNumber = 0;
};

} // namespace lacewingmux
