#pragma once

#include "lacewingmux_scheduling/replicas/PrefixLocation.h"

#include <QHash>
#include <QString>

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace lacewingmux {

/**
    Tracks which replica is believed to hold the prefix of each program.

    The directory is updated from finished calls and from the replicas' cache events. Events arrive
    late and with gaps: a gap in a replica's sequence numbers lowers the confidence in all entries
    of that replica, since an eviction may have been missed. Finished calls move the confidence
    towards the fraction of the expected tokens that was actually served from the cache. The size
    is bounded: the least recently used entry is evicted.
*/
class PrefixDirectory
{
public:
    explicit PrefixDirectory(std::size_t maximumPrograms = 100000);
    PrefixDirectory(const PrefixDirectory &) = delete;
    PrefixDirectory &operator=(const PrefixDirectory &) = delete;

    /** Records that a call of the program completed on the replica and left a prefix there. */
    void served(const QString &program, const QString &replica, std::int64_t prefixTokens);

    /** Updates the confidence in a replica from the number of cached tokens that a choice expected
        and the number that the replica served from its cache. */
    void observed(const QString &replica, std::int64_t expectedTokens, std::int64_t cachedTokens);

    /** Processes a cache event which reports that the replica evicted the program's prefix. */
    void evicted(const QString &replica, std::uint64_t eventSequence, const QString &program);

    /** Processes the sequence number of any other cache event and detects gaps. */
    void eventSeen(const QString &replica, std::uint64_t eventSequence);

    /** Removes the entry of a program that ended. */
    void forgetProgram(const QString &program);

    /** Invalidates all entries of a replica after it crashed or restarted. */
    void forgetReplica(const QString &replica);

    /** Returns where the program's prefix is believed to be cached, or nothing if unknown. */
    [[nodiscard]] std::optional<PrefixLocation> find(const QString &program) const;

    /** Returns the number of programs with an entry. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->entries.size();
    }

private:
    struct Entry
    {
        QString replica;
        std::int64_t tokens = 0;
        std::uint64_t replicaGeneration = 0;
        std::list<QString>::iterator recency;
    };
    struct ReplicaRecord
    {
        double confidence = 1;
        std::uint64_t lastSequence = 0;
        std::uint64_t generation = 0; ///< incremented when all of its entries become invalid
    };

    std::size_t capacity;
    std::unordered_map<QString, Entry> entries;
    std::list<QString> byRecency; ///< most recent first
    std::unordered_map<QString, ReplicaRecord> replicaRecords;
};

} // namespace lacewingmux
