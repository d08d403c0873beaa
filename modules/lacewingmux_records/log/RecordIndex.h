#pragma once

#include "lacewingmux_records/messages/Record.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>
#include <QHash>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewingmux {

/** Result of a chain lookup: its status and the sequence numbers of its records, oldest first. */
struct ChainLookup
{
    ChainStatus status = ChainStatus::Absent;
    std::vector<std::uint64_t> sequences;
};

/**
    Index of the records of one records VM by name: turns with their chains, and the tokens that
    each program has reserved and used. Contains no inputs and outputs; these are read from the
    log. Reads no clock.
*/
class RecordIndex
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    /** Adds a record with its sequence number; returns false if its name is already indexed. */
    bool add(const Record &record, std::uint64_t sequence);

    /** Returns whether the record is indexed, even if it has expired and is not dropped yet. */
    [[nodiscard]] bool contains(const RecordName &name) const;

    /** Returns the sequence number of a record; 0 if it is unknown. */
    [[nodiscard]] std::uint64_t sequenceOf(const RecordName &name) const;

    /** Returns the tokens that the program's turns have reserved or used, except the given turn. */
    [[nodiscard]] std::vector<ReservationState> reservations(const QByteArray &program,
                                                             const QByteArray &exceptTurn) const;

    /** Returns until when a record is kept: a turn as long as the turns that continue it, and what
        counts against the budget of a program as long as the program's latest record. */
    [[nodiscard]] WallTime keptUntil(const RecordName &name) const;

    /** Returns whether a turn is kept for its tokens only, as no chain needs it any more. */
    [[nodiscard]] bool isOnlyOwed(const RecordName &name, WallTime expiredBefore) const;

    /** Removes a record. The tokens of its program stay counted. */
    void remove(const RecordName &name);

    /** Notes that a record has also been appended under a higher sequence number, which replaces
       the given one. Does nothing if the record is no longer indexed under that one. */
    void move(std::uint64_t sequence, std::uint64_t newSequence);

    /** Looks up a turn of the team with all preceding turns of its chain. A turn that is kept until
        before the time is not found. */
    [[nodiscard]] ChainLookup chain(const QByteArray &turn, const QByteArray &team,
                                    WallTime expiredBefore) const;

    /** Returns the names of up to the given number of records after a sequence number. */
    [[nodiscard]] std::vector<std::pair<std::uint64_t, RecordName>>
    namesAfter(std::uint64_t sequence, std::size_t limit) const;

    /** Returns the lowest sequence number; the maximum if the index is empty. */
    [[nodiscard]] std::uint64_t firstSequence() const;

    /** Returns the highest sequence number; 0 if the index is empty. */
    [[nodiscard]] std::uint64_t lastSequence() const;

    /** Removes the records that are kept until before the time. */
    void dropExpired(WallTime before);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->sequences.size();
    }

private:
    struct Turn
    {
        std::uint64_t sequence = 0;
        QByteArray team;
        QByteArray parent;
        QByteArray program;
        WallTime keptUntil; ///< by its chain
    };

    struct TurnTokens
    {
        QByteArray key;
        std::int64_t reserved = 0;
        std::int64_t used = 0;
        bool settled = false;
    };

    struct Program
    {
        std::vector<TurnTokens> turns; ///< a few dozen: linear search is cheaper than hashing
        WallTime expires;
    };

    void remove(std::map<std::uint64_t, RecordName>::iterator named);
    void addTokens(const Record &record);
    /** Returns until when a program may go on that has reserved tokens for the turn; the epoch if
       it has not. */
    [[nodiscard]] WallTime owedUntil(const QByteArray &program, const QByteArray &turn) const;
    void addTurn(const Record &record, std::uint64_t sequence);
    /** Keeps a turn and those that it continues until the time at least. */
    void extendChain(const QByteArray &turn, const QByteArray &team, WallTime until);
    [[nodiscard]] static TurnTokens &tokensOf(Program &program, const QByteArray &turn);

    QHash<QByteArray, Turn> turns;
    QHash<QByteArray, WallTime> awaitedUntil; ///< of turns that are continued, but not indexed yet
    QHash<QByteArray, Program> programs;
    std::unordered_map<RecordName, std::uint64_t, RecordNameHash> sequences;
    std::map<std::uint64_t, RecordName> names;
    std::multimap<WallTime, std::uint64_t> byExpiry; ///< sequence numbers, some at an earlier time
};

} // namespace lacewingmux
