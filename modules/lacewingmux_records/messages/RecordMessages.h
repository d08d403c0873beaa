#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The state of a chain of turns on a records VM. */
enum class ChainStatus : std::uint8_t {
    NotAsked = 0,
    Found = 1,
    Absent = 2,     ///< the turn was never stored, or belongs to another team
    Incomplete = 3, ///< the turn is stored, but some preceding turn is not
    Expired = 4     ///< the retention of the turn has ended
};

/** Requests what a turn needs before it may run: its reservation and its history. */
struct OpenTurnMessage
{
    std::optional<Record> reservation; ///< absent for a program without a budget
    QByteArray team;
    QByteArray previousTurn; ///< empty when no chain is requested
    bool wantsHistory = false;
    qsizetype maximumHistoryBytes = 0; ///< a longer history is requested in parts; 0 if it is not
};

/** A position in a history. */
struct HistoryPosition
{
    std::uint64_t turn = 0;   ///< number of a turn of the chain, from 0 for the oldest one
    std::uint64_t offset = 0; ///< in bytes, within the input and output of that turn

    friend bool operator==(const HistoryPosition &, const HistoryPosition &) = default;
};

/** Requests a part of the history of a chain that is too long for one message. */
struct HistoryPartRequestMessage
{
    QByteArray team;
    QByteArray previousTurn; ///< the last turn of the chain
    HistoryPosition from;
    qsizetype maximumBytes = 0;
};

/** Tokens that one turn of a program may use, or has used if it is settled. */
struct ReservationState
{
    QByteArray key;
    std::int64_t tokens = 0;
    bool settled = false;
};

/** Reply to an OpenTurnMessage, sent once the reservation is on disk. */
struct OpenTurnReplyMessage
{
    bool hasAllReservations = false; ///< whether the replier can state that a record does not exist
    std::vector<ReservationState> reservations; ///< without the requested one
    ChainStatus chain = ChainStatus::NotAsked;
    QByteArray history;
    bool historyInParts = false; ///< the history is longer than requested
};

/** Reply to a HistoryPartRequestMessage. */
struct HistoryPartMessage
{
    ChainStatus chain = ChainStatus::NotAsked; ///< Found if the part could be read
    HistoryPosition from;                      ///< as requested
    QByteArray bytes;
    HistoryPosition next;
    bool atEnd = false;
};

/** Requests the names of the records that a records VM has appended after a position of its log. */
struct PullKeysMessage
{
    std::uint64_t after = 0;
    bool complete = false; ///< the sender has all records up to that position on disk
    std::vector<std::uint64_t> silentDisks; ///< disk identities of members the sender finds silent
};

/** The names of the records that a records VM has appended after a position of its log. */
struct PullKeysReplyMessage
{
    std::vector<RecordName> names;
    std::uint64_t next = 0;
    bool atEnd = false;
    bool foundSilent = false; ///< the replier recently considered the requester silent
};

/** The demand of one team: its limits in force, and the number of requests to admit. */
struct TeamDemandMessage
{
    QByteArray team;
    double requestsPerSecond = 0;
    double burst = 0;
    int wanted = 0;
    double reserve = 0; ///< fraction of the burst that must remain
};

/** Requests admission tokens for several teams. */
struct GrantTokensMessage
{
    std::vector<TeamDemandMessage> demands;
    std::uint64_t configurationVersion = 0;
};

/** Admission tokens granted to one team. */
struct TeamGrantMessage
{
    QByteArray team;
    int granted = 0;
    std::chrono::milliseconds retryAfter{0}; ///< until the next token, if too few were granted
    bool isHolder = true;                    ///< the replier holds a part of the team's rate
    int contenders = 1; ///< number of entry VMs whose demand the replier could not meet recently
};

/** Reply to a GrantTokensMessage. */
struct GrantTokensReplyMessage
{
    std::vector<TeamGrantMessage> grants;
    std::uint64_t configurationVersion = 0;
};

/** A version of the operators' configuration, as stored in the platform's store. */
struct ConfigurationDocumentMessage
{
    std::uint64_t version = 0;
    QByteArray document;
};

} // namespace lacewingmux
