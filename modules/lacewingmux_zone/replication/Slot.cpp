#include "lacewingmux_zone/replication/Slot.h"

namespace lacewingmux {

void Slot::beginView(const SlotPlacement &newPlacement)
{
    this->placement = newPlacement;
    this->phase = SlotPhase::NotOwner;
    this->survey.reset();
    this->finding.reset();
    this->lost = false;
    this->stalled = false;
    this->copyFromHolder = {};
    this->copyToBackup.reset();
    this->retainInstruction.reset();
    this->copyFromOwner = {};
    this->copyToOwner.reset();
    this->lastSentAt = {};
}

} // namespace lacewingmux
