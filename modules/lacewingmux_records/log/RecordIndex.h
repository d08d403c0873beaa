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

/** What the index knows of a chain: its state, and where its records lie, oldest first. */
struct ChainLookup
{
    ChainStatus status = ChainStatus::Absent;
    std::vector<std::uint64_t> sequences;
};

/**
    The records of one records VM by their names: turns with their chains, and what each program
    has reserved and handed out. Holds no inputs and outputs; those are read from the log.

    Pure: it reads no clock.
*/
class RecordIndex
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    /** Takes a record with its place in the log; returns false when its name is known already. */
    bool add(const Record &record, std::uint64_t sequence);

    /** Tells whether the record is known, or was known and has expired. */
    [[nodiscard]] bool contains(const RecordName &name) const;

    /** Returns the place of a record in the log; 0 when it is unknown. */
    [[nodiscard]] std::uint64_t sequenceOf(const RecordName &name) const;

    /** Returns what the program has reserved and handed out, without the turn that is named. */
    [[nodiscard]] std::vector<ReservationState> reservations(const QByteArray &program,
                                                             const QByteArray &exceptTurn) const;

    /** Looks up a turn of the team with all that precedes it. */
    [[nodiscard]] ChainLookup chain(const QByteArray &turn, const QByteArray &team,
                                    WallTime now) const;

    /** Returns the names of up to the given number of records behind a place in the log. */
    [[nodiscard]] std::vector<std::pair<std::uint64_t, RecordName>>
    namesAfter(std::uint64_t sequence, std::size_t limit) const;

    /** Returns the place of the record that was added last; 0 when there is none. */
    [[nodiscard]] std::uint64_t lastSequence() const;

    /** Forgets what expired before the time. */
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
        WallTime expires;
    };

    struct TurnTokens
    {
        QByteArray key;
        std::int64_t reserved = 0;
        std::int64_t handedOut = 0;
        bool settled = false;
    };

    struct Program
    {
        std::vector<TurnTokens> turns; ///< a few dozen, so that a search is cheaper than a hash
        WallTime expires;
    };

    void addTokens(const Record &record);
    [[nodiscard]] static TurnTokens &tokensOf(Program &program, const QByteArray &turn);

    QHash<QByteArray, Turn> turns;
    QHash<QByteArray, Program> programs;
    std::unordered_map<RecordName, std::uint64_t, RecordNameHash> sequences;
    std::map<std::uint64_t, RecordName> names;
    std::multimap<WallTime, std::uint64_t> byExpiry; ///< places in the log
};

} // namespace lacewingmux
