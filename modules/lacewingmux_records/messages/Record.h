#pragma once

#include <QByteArray>
#include <QHashFunctions>

#include <chrono>
#include <cstdint>
#include <tuple>

namespace lacewingmux {

/** The type of a record. The values are stored on disk and must not change. */
enum class RecordKind : std::uint8_t {
    Turn = 1,        ///< a completed turn with its input and output
    Reservation = 2, ///< tokens that a turn may use
    Settlement = 3,  ///< tokens that a turn has used; replaces its reservation
    QuotaFloor = 4   ///< admission tokens of a team that stay unspent until the next such record
};

/** One immutable record of a program. */
struct Record
{
    RecordKind kind = RecordKind::Turn;
    QByteArray key; ///< request id of the turn
    QByteArray program;
    QByteArray team;
    QByteArray parent; ///< the turn that this turn continues; empty at the start of a chain
    QByteArray input;
    QByteArray output;
    std::int64_t tokens = 0;
    std::chrono::system_clock::time_point expires; ///< not readable after this time
};

/** Identifies a record uniquely. */
struct RecordName
{
    RecordKind kind = RecordKind::Turn;
    QByteArray key;
    QByteArray program; ///< empty for turns, whose keys are unique

    friend bool operator==(const RecordName &, const RecordName &) = default;
    friend bool operator<(const RecordName &left, const RecordName &right)
    {
        return std::tie(left.kind, left.key, left.program)
               < std::tie(right.kind, right.key, right.program);
    }
};

/** Hashes record names by kind and key only, as few programs share a request id. */
struct RecordNameHash
{
    [[nodiscard]] std::size_t operator()(const RecordName &name) const noexcept
    {
        return qHash(name.key, static_cast<std::size_t>(name.kind));
    }
};

[[nodiscard]] RecordName nameOf(const Record &record);

} // namespace lacewingmux
