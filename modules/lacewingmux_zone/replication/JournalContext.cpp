#include "lacewingmux_zone/replication/JournalContext.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
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
    , slots(journalSettings.slotCount)
    , outbox(peerHub, timerService, journalSettings.frameBytes)
{ }

std::uint64_t JournalContext::epoch() const
{
    return this->view->epoch();
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
