#pragma once

#include "lacewingmux_config/records/RevisionedRecord.h"

#include <QString>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** What became of an edit. */
enum class RecordEditOutcome : std::uint8_t {
    Applied,
    Conflict,    ///< the record has another revision than the edit was made for; nothing changed
    Unavailable, ///< the store could not be reached; nothing changed
    Refused,     ///< the edit itself gave up; nothing changed
    TooLarge,    ///< the record would pass what the store holds in a value; nothing changed
    Unknown      ///< the store stopped answering after the write was sent: it may stand or not
};

/** The outcome, and the record as it now stands where that is known. */
struct RecordEditResult
{
    RecordEditOutcome outcome = RecordEditOutcome::Unavailable;
    std::optional<RevisionedRecord> current; ///< empty also when there is no record yet
    std::uint64_t appliedRevision = 0;       ///< the revision that an applied edit made
    QString refusal;                         ///< why the edit gave up
};

} // namespace lacewingmux
