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

/** State shared by the parts of a ReplicatedJournal: its dependencies, view and slots. */
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
    std::vector<VmIncarnation> knownPeers; ///< members of all known views except this VM
    TimerService::SteadyTime adoptedAt{};
    std::vector<Slot> slotStates;
    PeerOutbox outbox;

    [[nodiscard]] std::uint64_t epoch() const;

    /** Adopts a newer view and merges the history of earlier ones. */
    void beginView(std::shared_ptr<const ZoneView> newView, const ViewHistory &earlier);

    /** Returns the slot's owner and backup in the current view. */
    [[nodiscard]] SlotPlacement placement(SlotIndex slot) const;

    /** Returns whether this VM owns or backs up the slot in the current view. */
    [[nodiscard]] bool isHolder(const Slot &slot) const;

    /** Returns whether the view has a later incarnation of the VM, so this one can't be running. */
    [[nodiscard]] bool isReplaced(const VmIncarnation &vm) const;
};

} // namespace lacewingmux
