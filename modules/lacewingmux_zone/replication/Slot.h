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

/** The state of a slot's recovery at its owner in the current view. */
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

    The position and the records describe its copy in any role. The members up to reportedActive
    outlive the view; the others belong to the current view and are reset with the next one.
*/
struct Slot
{
    SlotPosition position;
    RecordMap records;
    AppendWindow window;         ///< outlives the view while this VM stays the owner
    bool reportedActive = false; ///< activation was reported to the handlers and not ended since

    SlotPlacement placement;
    SlotPhase phase = SlotPhase::NotOwner;
    std::unique_ptr<SlotSurvey> survey;
    std::optional<SlotSurvey::Finding> finding;
    bool lost = false;    ///< no authoritative copy is available; starts empty and incomplete
    bool stalled = false; ///< currently can't commit
    SlotAssembly pulled;  ///< as owner: the copy being fetched
    std::unique_ptr<SlotTransfer> pushed;        ///< as owner: the copy being sent to the backup
    std::optional<StatePiece> retainInstruction; ///< as owner: sent instead of the copy
    SlotAssembly installed;                      ///< as backup: the copy being received
    std::unique_ptr<SlotTransfer> served; ///< as former holder: the copy being fetched by the owner
    TimerService::SteadyTime lastSentAt{}; ///< when the last request or piece was sent

    /** Resets the state that belongs to the view and sets the placement of the next one. */
    void beginView(const SlotPlacement &newPlacement);
};

} // namespace lacewingmux
