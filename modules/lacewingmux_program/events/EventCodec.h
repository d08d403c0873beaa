#pragma once

#include "lacewingmux_program/events/ProgramEvent.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** Version of the journal entries that this build writes; it reads this and earlier versions. */
inline constexpr std::uint16_t journalEntryVersion = 1;

/** Encodes the events as one journal entry, a FlatBuffers table JournalEntry. */
[[nodiscard]] QByteArray encodeEvents(const std::vector<ProgramEvent> &events);

/**
    Decodes the events of a journal entry.
    Throws LacewingmuxError with ErrorKind::InternalError if the entry is damaged or was written by
    a later version.
*/
[[nodiscard]] std::vector<ProgramEvent> decodeEvents(const QByteArray &entry);

} // namespace lacewingmux
