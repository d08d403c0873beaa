#pragma once

#include <QByteArray>
#include <QHash>
#include <QSet>
#include <QString>
#include <QStringList>

#include <cstdint>
#include <vector>

namespace lacewingmux::standin {

/**
    A prefix cache of blocks of tokens. A block is named by the hash of all tokens up to its end,
    so equal prefixes of several programs share blocks. Over its capacity it evicts the blocks
    used longest ago.
*/
class PrefixCache
{
public:
    static constexpr int blockTokens = 8;

    explicit PrefixCache(std::int64_t maxTokens);

    /** Returns the names of the whole blocks of the prompt, in order. */
    [[nodiscard]] static std::vector<std::uint64_t> blocksOf(const QStringList &tokens);

    /** Returns how many tokens at the start of the blocks are in the cache. */
    [[nodiscard]] std::int64_t cachedTokens(const std::vector<std::uint64_t> &blocks) const;

    /** Stores the blocks as held by the program. */
    void store(const QString &program, const std::vector<std::uint64_t> &blocks);

    /** Drops what only this program holds; returns how many tokens that freed. */
    std::int64_t release(const QString &program);

    /** Returns the blocks that the program holds. */
    [[nodiscard]] std::vector<std::uint64_t> blocksHeldBy(const QString &program) const;

    /** Returns the tokens held by each program; shared blocks count for each holder. */
    [[nodiscard]] QHash<QString, std::int64_t> tokensByProgram() const;

    [[nodiscard]] std::int64_t totalTokens() const;

private:
    struct Block
    {
        QSet<QString> programs;
        std::uint64_t lastUse = 0;
    };

    void evict();

    std::int64_t capacity;
    std::uint64_t useCounter = 0;
    QHash<std::uint64_t, Block> blocks;
};

} // namespace lacewingmux::standin
