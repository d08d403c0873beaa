#include "lacewingmux_gateway/replicas/PromptCacheIndex.h"

#include <algorithm>

namespace lacewingmux {

PromptCacheIndex::PromptCacheIndex(std::size_t partLimit)
    : limit(partLimit)
{ }

void PromptCacheIndex::recordPrompt(const QByteArray &instance,
                                    const std::vector<PromptPart> &parts)
{
    const std::uint32_t number = this->numberOf(instance);
    for (const PromptPart &part : parts) {
        const auto [entry, isNew] = this->entries.try_emplace(part.id);
        if (isNew) {
            this->byRecency.push_front(part.id);
            entry->second.recencyPosition = this->byRecency.begin();
        } else {
            this->byRecency.splice(this->byRecency.begin(), this->byRecency,
                                   entry->second.recencyPosition);
        }
        std::vector<std::uint32_t> &instanceNumbers = entry->second.instanceNumbers;
        if (std::find(instanceNumbers.begin(), instanceNumbers.end(), number)
            == instanceNumbers.end())
            instanceNumbers.push_back(number);
    }
    while (this->entries.size() > this->limit) {
        this->entries.erase(this->byRecency.back());
        this->byRecency.pop_back();
    }
}

std::int64_t PromptCacheIndex::cachedTokens(const QByteArray &instance,
                                            const std::vector<PromptPart> &parts) const
{
    const auto number = this->numbers.find(instance);
    if (number == this->numbers.end())
        return 0;
    std::int64_t tokens = 0;
    for (const PromptPart &part : parts) {
        const auto entry = this->entries.find(part.id);
        if (entry == this->entries.end())
            break;
        const std::vector<std::uint32_t> &instanceNumbers = entry->second.instanceNumbers;
        if (std::find(instanceNumbers.begin(), instanceNumbers.end(), number->second)
            == instanceNumbers.end())
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void PromptCacheIndex::removeInstance(const QByteArray &instance)
{
    // The number is never reused, so the entries need not be searched.
    this->numbers.erase(instance);
}

std::uint32_t PromptCacheIndex::numberOf(const QByteArray &instance)
{
    const auto [number, isNew] = this->numbers.try_emplace(instance, this->nextNumber);
    if (isNew)
        ++this->nextNumber;
    return number->second;
}

} // namespace lacewingmux
