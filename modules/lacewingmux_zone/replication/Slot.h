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

/** How far the owner of a slot has come in the current view. */
enum class SlotPhase : std::uint8_t {
    NotOwner,   ///< another VM owns the slot, or none
    Surveying,  ///< asks who holds the authoritative copy, and where the backup stands
    Pulling,    ///< fetches the authoritative copy
    Waiting,    ///< has the copy and waits for its turn to send it to the backup
    Activating, ///< sends the copy to the backup
    Active      ///< owner and backup hold the same copy; entries commit
};

/**
    All that a VM keeps about one slot.

    The position and the records are what it holds, in whatever role; they outlive the view. The
    rest belongs to the current view and begins anew with the next one.
*/
struct Slot
{
    SlotPosition position;
    RecordMap records;
    AppendWindow window;  ///< outlives the view while this VM stays the owner
    bool exposed = false; ///< the activation handlers were called, and no deactivation since

    SlotPlacement placement;
    SlotPhase phase = SlotPhase::NotOwner;
    std::unique_ptr<SlotSurvey> survey;
    std::optional<SlotSurvey::Finding> finding;
    bool lost = false;    ///< no authoritative copy can be had: starts empty and incomplete
    bool stalled = false; ///< can't commit at present
    SlotAssembly pulled;  ///< as owner: the copy being fetched
    std::unique_ptr<SlotTransfer> pushed; ///< as owner: the copy being sent to the backup
    std::optional<StatePiece> keepOrder;  ///< as owner: sent in place of the copy
    SlotAssembly installed;               ///< as backup: the copy being received
    std::unique_ptr<SlotTransfer> served; ///< as former holder: the copy being fetched by the owner
    TimerService::SteadyTime progressAt{}; ///< when the last question or piece was sent

    /** Forgets what belongs to the view, and begins with the placement of the next one. */
    void beginView(const SlotPlacement &newPlacement);
};

} // namespace lacewingmux
