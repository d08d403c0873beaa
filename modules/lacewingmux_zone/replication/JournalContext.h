#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_zone/replication/JournalFaults.h"
#include "lacewingmux_zone/replication/JournalSettings.h"
#include "lacewingmux_zone/replication/PeerOutbox.h"
#include "lacewingmux_zone/replication/Slot.h"
#include "lacewingmux_zone/views/ViewHistory.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux {

class MetricsRecorder;
class PeerHub;
class TimerService;
class ZoneView;

/** What the parts of one ReplicatedJournal share: its surroundings, its view and its slots. */
struct JournalContext
{
    JournalContext(PeerHub &peerHub, TimerService &timerService, MetricsRecorder &metricsRecorder,
                   VmIncarnation ownIncarnation, const JournalSettings &journalSettings,
                   const JournalFaults &journalFaults);

    PeerHub &hub;
    TimerService &timers;
    MetricsRecorder &metrics;
    const VmIncarnation self;
    const JournalSettings settings;
    const JournalFaults faults;

    std::shared_ptr<const ZoneView> view; ///< never null; epoch 0 before the first one
    ViewHistory history;
    std::vector<VmIncarnation> knownPeers; ///< members of any known view, but for this VM
    TimerService::SteadyTime adoptedAt{};
    std::vector<Slot> slotStates;
    PeerOutbox outbox;

    [[nodiscard]] std::uint64_t epoch() const;

    /** Takes over a newer view and what is known of earlier ones. */
    void beginView(std::shared_ptr<const ZoneView> newView, const ViewHistory &earlier);

    /** Returns who owns the slot and who backs it up in the current view. */
    [[nodiscard]] SlotPlacement placement(SlotIndex slot) const;

    /** Tells whether this VM owns the slot or backs it up in the current view. */
    [[nodiscard]] bool isHolder(const Slot &slot) const;

    /** Tells whether the VM was started again later, so that this incarnation can't be running. */
    [[nodiscard]] bool isReplaced(const VmIncarnation &vm) const;
};

} // namespace lacewingmux
