#pragma once

#include <QByteArray>
#include <QHashFunctions>

#include <chrono>
#include <cstdint>
#include <tuple>

namespace lacewingmux {

/** What a record says. The numbers lie on disk and must not change. */
enum class RecordKind : std::uint8_t {
    Turn = 1,        ///< a turn that ended whole, with its input and output
    Reservation = 2, ///< tokens that a turn may hand out
    Settlement = 3,  ///< tokens that a turn has handed out; takes the reservation's place
    QuotaFloor = 4   ///< admission tokens of a team that stay unspent until another one is written
};

/** One fact about a program. It is written once and never changed. */
struct Record
{
    RecordKind kind = RecordKind::Turn;
    QByteArray key; ///< request id of the turn
    QByteArray program;
    QByteArray team;
    QByteArray parent; ///< the turn that this one continues; empty at the start of a chain
    QByteArray input;
    QByteArray output;
    std::int64_t tokens = 0;
    std::chrono::system_clock::time_point expires; ///< after it nobody may ask for it
};

/** Names a record among all of its kind. */
struct RecordName
{
    RecordKind kind = RecordKind::Turn;
    QByteArray key;
    QByteArray program; ///< empty for turns, whose key is enough

    friend bool operator==(const RecordName &, const RecordName &) = default;
    friend bool operator<(const RecordName &left, const RecordName &right)
    {
        return std::tie(left.kind, left.key, left.program)
               < std::tie(right.kind, right.key, right.program);
    }
};

/** Hashes names for unordered containers, by the key alone: few programs share a request id. */
struct RecordNameHash
{
    [[nodiscard]] std::size_t operator()(const RecordName &name) const noexcept
    {
        return qHash(name.key, static_cast<std::size_t>(name.kind));
    }
};

/** Returns the name of the record. */
[[nodiscard]] RecordName nameOf(const Record &record);

} // namespace lacewingmux
