#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_zone/journal/RecordMap.h"
#include "lacewingmux_zone/replication/AppendWindow.h"
#include "lacewingmux_zone/replication/SlotAssembly.h"
#include "lacewingmux_zone/replication/SlotPosition.h"
#include "lacewingmux_zone/replication/SlotSurvey.h"
#include "lacewingmux_zone/replication/SlotTransfer.h"
#include "lacewingmux_zone/views/SlotPlacement.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace lacewingmux {

/** The phase of a slot's recovery at a VM in the current view. */
enum class SlotPhase : std::uint8_t {
    NotOwner,   ///< another VM owns the slot, or no VM does
    Surveying,  ///< locating the authoritative copy and the backup's position
    Pulling,    ///< fetching the authoritative copy
    Queued,     ///< waiting for its turn to fetch or send the copy
    Activating, ///< sending the copy to the backup
    Active      ///< owner and backup hold the same copy; entries commit
};

/**
    The state that a VM keeps for one slot.

    The position and the records describe its copy in any role. beginView() keeps the members
    up to reportedActive and resets the others, which belong to the current view.
*/
struct Slot
{
    SlotPosition position;
    RecordMap records;
    AppendWindow window; ///< kept while this VM stays the owner

    /** Whether the activation handlers were called, and the deactivation handlers not since. */
    bool reportedActive = false;

    SlotPlacement placement;
    SlotPhase phase = SlotPhase::NotOwner;
    std::unique_ptr<SlotSurvey> survey;
    std::optional<SlotSurvey::Finding> finding;

    /** Whether no authoritative copy is available; the slot then starts empty and incomplete. */
    bool lost = false;

    bool stalled = false;                       ///< currently can't commit
    SlotAssembly copyFromHolder;                ///< as owner: the copy being fetched
    std::unique_ptr<SlotTransfer> copyToBackup; ///< as owner: the copy being sent to the backup

    /** As owner: tells the backup to keep its own copy up to a position; sent instead of a copy. */
    std::optional<StatePiece> retainInstruction;

    SlotAssembly copyFromOwner;                ///< as backup: the copy being received
    std::unique_ptr<SlotTransfer> copyToOwner; ///< as former holder: the copy sent to the owner
    TimerService::SteadyTime lastSentAt{};     ///< when the last request or piece was sent

    /** Resets the state that belongs to the view and sets the placement of the next one. */
    void beginView(const SlotPlacement &newPlacement);
};

} // namespace lacewingmux
