#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/journal/AggregateRecord.h"
#include "lacewingmux_zone/journal/JournalChange.h"
#include "lacewingmux_zone/replication/SlotPosition.h"

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** A VM's position in a slot, in answer to a survey. */
struct SurveyAnswer
{
    SlotIndex slot = 0;
    SlotPosition position;
};

/** Requests one piece of a copy from its holder. */
struct StateRequest
{
    SlotIndex slot = 0;
    std::uint32_t piece = 0;
    std::uint64_t activation = 0; ///< of the requested copy
};

/** One piece of a slot's copy, or the instruction to keep the receiver's copy. */
struct StatePiece
{
    SlotIndex slot = 0;
    std::uint32_t piece = 0; ///< counted from 0
    bool last = false;
    bool keep = false;                ///< the receiver's copy is current; no records are sent
    std::uint64_t keptActivation = 0; ///< of the copy to keep
    SlotPosition position;            ///< of the complete copy
    std::vector<AggregateRecord> records;
};

/** Reports the receiver's progress to the sender of a piece. */
struct StateAck
{
    SlotIndex slot = 0;
    std::uint32_t nextPiece = 0;
    bool installed = false; ///< the copy is complete and installed
    bool refused = false;   ///< the copy can't be kept; the full copy is needed
    std::uint64_t activation = 0;
    std::uint64_t sequence = 0; ///< last entry of the installed copy
};

/** One entry sent from the owner to the backup. */
struct AppendEntry
{
    SlotIndex slot = 0;
    std::uint64_t activation = 0;
    std::uint64_t sequence = 0;
    JournalChange change;
};

/** Acknowledges all entries of a slot up to the sequence number. */
struct AppendAck
{
    SlotIndex slot = 0;
    bool resend = false; ///< an entry was missing; resend all after the sequence number
    std::uint64_t activation = 0;
    std::uint64_t sequence = 0;
};

/** Reports that a slot has become active, so older copies are no longer needed. */
struct ActivatedSlot
{
    SlotIndex slot = 0;
    std::uint64_t activation = 0;
};

} // namespace lacewingmux
