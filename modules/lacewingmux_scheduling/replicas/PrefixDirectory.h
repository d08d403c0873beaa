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
    Remembers which replica is believed to hold the prefix of each program.

    It learns from finished calls and from the replicas' cache events. Events come late and with
    gaps: a gap in a replica's sequence numbers lowers the confidence in all that is believed of
    it, since an eviction may have been missed. Finished calls move the confidence towards the part
    of the expected tokens that was really served from the cache. Bounded: the entry used least
    recently gives way.
*/
class PrefixDirectory
{
public:
    explicit PrefixDirectory(std::size_t maximumPrograms = 100000);
    PrefixDirectory(const PrefixDirectory &) = delete;
    PrefixDirectory &operator=(const PrefixDirectory &) = delete;

    /** Notes that a call of the program ran to its end on the replica, leaving a prefix. */
    void served(const QString &program, const QString &replica, std::int64_t prefixTokens);

    /** Compares what a choice expected with what the replica served from its cache. */
    void observed(const QString &replica, std::int64_t expectedTokens, std::int64_t cachedTokens);

    /** Takes a cache event saying that the replica evicted the program's prefix. */
    void evicted(const QString &replica, std::uint64_t eventSequence, const QString &program);

    /** Takes the sequence number of any other cache event; notices gaps. */
    void eventSeen(const QString &replica, std::uint64_t eventSequence);

    /** Forgets an ended program. */
    void forgetProgram(const QString &program);

    /** Forgets what a replica held, after it crashed or restarted. */
    void forgetReplica(const QString &replica);

    /** Returns where the program's prefix is believed to be. */
    [[nodiscard]] std::optional<PrefixLocation> find(const QString &program) const;

    /** Returns how many programs are remembered. */
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
    struct Knowledge
    {
        double confidence = 1;
        std::uint64_t lastSequence = 0;
        std::uint64_t generation = 0; ///< grows when all that is believed becomes void
    };

    std::size_t capacity;
    std::unordered_map<QString, Entry> entries;
    std::list<QString> byRecency; ///< most recent first
    std::unordered_map<QString, Knowledge> knowledge;
};

} // namespace lacewingmux
