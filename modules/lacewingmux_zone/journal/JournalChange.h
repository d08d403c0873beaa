#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** What a journal entry does to the records of its slot. */
enum class ChangeKind : std::uint8_t {
    Append,  ///< appends an entry to the aggregate
    Replace, ///< replaces all entries of the aggregate with the entry
    Remove,  ///< removes the aggregate
    Confirm  ///< changes nothing; its commit shows that the owner still owns the slot
};

/** One journal entry, in the form that the owner and the backup apply. */
struct JournalChange
{
    ChangeKind kind = ChangeKind::Confirm;
    AggregateId aggregate;
    QByteArray entry;
};

} // namespace lacewingmux
