#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** What a records VM knows of a chain of turns. */
enum class ChainStatus : std::uint8_t {
    NotAsked = 0,
    Found = 1,
    Absent = 2,     ///< it has never had the turn, or the turn is another team's
    Incomplete = 3, ///< it has the turn but not all that precedes it
    Expired = 4     ///< it had the turn, whose retention is over
};

/** Asks for what a turn needs before it may run. */
struct OpenTurnMessage
{
    std::optional<Record> reservation; ///< nothing for a program without a budget
    QByteArray team;
    QByteArray previousTurn; ///< empty when no chain is asked for
    bool wantsHistory = false;
};

/** Tokens that one turn of a program may hand out, or has handed out once settled. */
struct ReservationState
{
    QByteArray key;
    std::int64_t tokens = 0;
    bool settled = false;
};

/** Answers an OpenTurnMessage once the reservation is on disk. */
struct OpenTurnReplyMessage
{
    bool synced = false; ///< whether the replier may say that something does not exist
    std::vector<ReservationState> reservations; ///< without the one that was asked for
    ChainStatus chain = ChainStatus::NotAsked;
    QByteArray history;
};

/** Asks for the keys that a records VM appended behind a position of its log. */
struct PullKeysMessage
{
    std::uint64_t after = 0;
    bool complete = false;                  ///< the asker has on disk what lies before
    std::vector<std::uint64_t> silentDisks; ///< of members that the asker has not heard for long
};

/** The keys that a records VM appended behind a position of its log. */
struct PullKeysReplyMessage
{
    std::vector<RecordName> names;
    std::uint64_t next = 0;
    bool atEnd = false;
};

/** What one team asks for: its limits in force, and how many requests are to be admitted. */
struct TeamDemandMessage
{
    QByteArray team;
    double requestsPerSecond = 0;
    double burst = 0;
    int wanted = 0;
    double reserve = 0; ///< part of the burst that has to be left over
};

/** Asks for admission tokens of several teams. */
struct GrantTokensMessage
{
    std::vector<TeamDemandMessage> demands;
    std::uint64_t configurationVersion = 0;
};

/** Admission tokens for one team. */
struct TeamGrantMessage
{
    QByteArray team;
    int granted = 0;
    std::chrono::milliseconds retryAfter{0}; ///< until the next token, where too few were granted
};

/** Answers a GrantTokensMessage. */
struct GrantTokensReplyMessage
{
    std::vector<TeamGrantMessage> grants;
    std::uint64_t configurationVersion = 0;
    int entryVms = 0; ///< linked to the replier
};

/** A version of the operators' configuration, as the platform's store holds it. */
struct ConfigurationDocumentMessage
{
    std::uint64_t version = 0;
    QByteArray document;
};

} // namespace lacewingmux
