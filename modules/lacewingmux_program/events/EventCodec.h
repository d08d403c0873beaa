#pragma once

#include "lacewingmux_program/events/ProgramEvent.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** Version of journal entries that this build writes; it reads this one and all below. */
inline constexpr std::uint16_t journalEntryVersion = 1;

/** Returns one journal entry with the events, as FlatBuffers table JournalEntry. */
[[nodiscard]] QByteArray encodeEvents(const std::vector<ProgramEvent> &events);

/**
    Returns the events of a journal entry.

    Throws LacewingmuxError with ErrorKind::InternalError when the entry is damaged or was written
    by a later version.
*/
[[nodiscard]] std::vector<ProgramEvent> decodeEvents(const QByteArray &entry);

} // namespace lacewingmux
