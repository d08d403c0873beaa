#include "engine/library/PrefixCache.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>

namespace lacewingmux::standin {

PrefixCache::PrefixCache(std::int64_t maxTokens)
    : capacity(maxTokens)
{ }

std::vector<std::uint64_t> PrefixCache::blocksOf(const QStringList &tokens)
{
    std::vector<std::uint64_t> names;
    std::uint64_t hash = 0;
    int inBlock = 0;
    for (const QString &token : tokens) {
        hash = combineHashes(hash, stableHash(token.toUtf8()));
        if (++inBlock == blockTokens) {
            names.push_back(hash);
            inBlock = 0;
        }
    }
    return names;
}

std::int64_t PrefixCache::cachedTokens(const std::vector<std::uint64_t> &names) const
{
    const auto missing = std::find_if(names.begin(), names.end(), [this](std::uint64_t name) {
        return !this->blocks.contains(name);
    });
    return (missing - names.begin()) * blockTokens;
}

void PrefixCache::store(const QString &program, const std::vector<std::uint64_t> &names)
{
    for (const std::uint64_t name : names) {
        Block &block = this->blocks[name];
        block.programs.insert(program);
        block.lastUse = ++this->useCounter;
    }
    this->evict();
}

std::int64_t PrefixCache::release(const QString &program)
{
    const std::int64_t before = this->totalTokens();
    for (auto block = this->blocks.begin(); block != this->blocks.end();) {
        block->programs.remove(program);
        block = block->programs.isEmpty() ? this->blocks.erase(block) : std::next(block);
    }
    return before - this->totalTokens();
}

std::vector<std::uint64_t> PrefixCache::blocksHeldBy(const QString &program) const
{
    std::vector<std::uint64_t> names;
    for (auto block = this->blocks.begin(); block != this->blocks.end(); ++block) {
        if (block->programs.contains(program))
            names.push_back(block.key());
    }
    return names;
}

QHash<QString, std::int64_t> PrefixCache::tokensByProgram() const
{
    QHash<QString, std::int64_t> tokens;
    for (const Block &block : this->blocks) {
        for (const QString &program : block.programs)
            tokens[program] += blockTokens;
    }
    return tokens;
}

std::int64_t PrefixCache::totalTokens() const
{
    return this->blocks.size() * blockTokens;
}

void PrefixCache::evict()
{
    while (this->totalTokens() > this->capacity) {
        const auto oldest = std::min_element(
                this->blocks.begin(), this->blocks.end(),
                [](const Block &left, const Block &right) { return left.lastUse < right.lastUse; });
        this->blocks.erase(oldest);
    }
}

} // namespace lacewingmux::standin
