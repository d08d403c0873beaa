#include "lacewingmux_zone/replication/JournalContext.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewingmux {

JournalContext::JournalContext(PeerHub &peerHub, TimerService &timerService,
                               MetricsRecorder &metricsRecorder, VmIncarnation ownIncarnation,
                               const JournalSettings &journalSettings,
                               const JournalFaults &journalFaults)
    : hub(peerHub)
    , timers(timerService)
    , metrics(metricsRecorder)
    , self(std::move(ownIncarnation))
    , settings(journalSettings)
    , faults(journalFaults)
    , view(std::make_shared<const ZoneView>())
    , slotStates(journalSettings.slotCount)
    , outbox(peerHub, timerService, journalSettings.frameBytes)
{ }

std::uint64_t JournalContext::epoch() const
{
    return this->view->epoch();
}

void JournalContext::beginView(std::shared_ptr<const ZoneView> newView, const ViewHistory &earlier)
{
    this->view = std::move(newView);
    this->history.merge(earlier);
    this->history.add(this->view);
    this->knownPeers.clear();
    for (const VmDescriptor &member : this->history.allMembers()) {
        if (member.incarnation != this->self)
            this->knownPeers.push_back(member.incarnation);
    }
    this->adoptedAt = this->timers.now();
    this->outbox.beginEpoch(this->epoch());
}

SlotPlacement JournalContext::placement(SlotIndex slot) const
{
    if (this->faults.actAsSoleMember)
        return {this->self, std::nullopt};
    return this->view->placement(slot);
}

bool JournalContext::isHolder(const Slot &slot) const
{
    return slot.placement.owner == this->self || slot.placement.backup == this->self;
}

bool JournalContext::isReplaced(const VmIncarnation &vm) const
{
    const std::vector<VmDescriptor> &members = this->view->members();
    return std::any_of(members.begin(), members.end(), [&vm](const VmDescriptor &member) {
        return member.incarnation.vm == vm.vm && member.incarnation.incarnation > vm.incarnation;
    });
}

} // namespace lacewingmux
