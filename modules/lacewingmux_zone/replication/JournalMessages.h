#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/journal/AggregateRecord.h"
#include "lacewingmux_zone/journal/JournalChange.h"
#include "lacewingmux_zone/replication/SlotPosition.h"

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** What a VM holds of a slot, in answer to a survey. */
struct SurveyAnswer
{
    SlotIndex slot = 0;
    SlotPosition position;
};

/** Asks the holder of a copy for one piece of it. */
struct StateRequest
{
    SlotIndex slot = 0;
    std::uint32_t piece = 0;
    std::uint64_t activation = 0; ///< of the copy that is asked for
};

/** One piece of a slot's copy, or the order to keep the copy that is held. */
struct StatePiece
{
    SlotIndex slot = 0;
    std::uint32_t piece = 0; ///< counted from 0
    bool last = false;
    bool keep = false;                ///< the receiver's own copy is good; no records are sent
    std::uint64_t keptActivation = 0; ///< of the copy to keep
    SlotPosition position;            ///< of the copy once it is whole
    std::vector<AggregateRecord> records;
};

/** Tells the sender of a piece how far the receiver has come. */
struct StateAck
{
    SlotIndex slot = 0;
    std::uint32_t nextPiece = 0;
    bool installed = false; ///< the copy is whole and in place
    bool refused = false;   ///< there is nothing to keep; the whole copy is needed
    std::uint64_t activation = 0;
    std::uint64_t sequence = 0; ///< last entry of the installed copy
};

/** One entry on its way from the owner to the backup. */
struct AppendEntry
{
    SlotIndex slot = 0;
    std::uint64_t activation = 0;
    std::uint64_t sequence = 0;
    JournalChange change;
};

/** Acknowledges all entries of a slot up to the sequence. */
struct AppendAck
{
    SlotIndex slot = 0;
    bool resend = false; ///< an entry was missing: send again what follows the sequence
    std::uint64_t activation = 0;
    std::uint64_t sequence = 0;
};

/** Tells that a slot has become active, so that older copies aren't needed any more. */
struct ActivatedSlot
{
    SlotIndex slot = 0;
    std::uint64_t activation = 0;
};

} // namespace lacewingmux
