#include "lacewingmux_gateway/replicas/PromptMemory.h"

#include <algorithm>

namespace lacewingmux {

PromptMemory::PromptMemory(std::size_t partLimit)
    : limit(partLimit)
{ }

void PromptMemory::note(const QByteArray &instance, const std::vector<PromptPart> &parts)
{
    const std::uint32_t number = this->numberOf(instance);
    for (const PromptPart &part : parts) {
        const auto [entry, isNew] = this->entries.try_emplace(part.id);
        if (isNew) {
            this->byUse.push_front(part.id);
            entry->second.place = this->byUse.begin();
        } else {
            this->byUse.splice(this->byUse.begin(), this->byUse, entry->second.place);
        }
        std::vector<std::uint32_t> &readers = entry->second.readers;
        if (std::find(readers.begin(), readers.end(), number) == readers.end())
            readers.push_back(number);
    }
    while (this->entries.size() > this->limit) {
        this->entries.erase(this->byUse.back());
        this->byUse.pop_back();
    }
}

std::int64_t PromptMemory::knownTokens(const QByteArray &instance,
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
        const std::vector<std::uint32_t> &readers = entry->second.readers;
        if (std::find(readers.begin(), readers.end(), number->second) == readers.end())
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void PromptMemory::forget(const QByteArray &instance)
{
    // The number is never used again, so that entries need not be looked through.
    this->numbers.erase(instance);
}

std::uint32_t PromptMemory::numberOf(const QByteArray &instance)
{
    const auto [number, isNew] = this->numbers.try_emplace(instance, this->nextNumber);
    if (isNew)
        ++this->nextNumber;
    return number->second;
}

} // namespace lacewingmux
