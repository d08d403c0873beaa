#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** What a journal entry does to the records of its slot. */
enum class ChangeKind : std::uint8_t {
    Append,  ///< adds an entry to the aggregate
    Replace, ///< puts the entry in place of all entries of the aggregate
    Remove,  ///< forgets the aggregate
    Confirm  ///< changes nothing; its commit shows that the owner still owns the slot
};

/** One journal entry, as the owner and the backup apply it. */
struct JournalChange
{
    ChangeKind kind = ChangeKind::Confirm;
    AggregateId aggregate;
    QByteArray entry;
};

} // namespace lacewingmux
