#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/replication/ReplicatedJournal.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/** The journals of one zone on an in-memory network with a shared clock. */
class JournalZone
{
public:
    /** One VM of the zone. */
    struct Vm
    {
        VmDescriptor descriptor;
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<ReplicatedJournal> journal;
        std::map<SlotIndex, std::vector<AggregateRecord>> activated;
        std::vector<SlotIndex> deactivated;
    };

    explicit JournalZone(const JournalSettings &journalSettings = {})
        : network(this->timers)
        , settings(journalSettings)
    { }

    /** Starts a VM, or a new incarnation of it. */
    Vm &start(const QString &name)
    {
        auto vm = std::make_unique<Vm>();
        vm->descriptor.incarnation = {name, QStringLiteral("z"), this->nextIncarnation++};
        vm->hub = this->network.makeHub(vm->descriptor.incarnation);
        vm->journal = std::make_unique<ReplicatedJournal>(*vm->hub, this->timers, this->metrics,
                                                          vm->descriptor, this->settings);
        Vm &started = *vm;
        vm->journal->addActivationHandler(
                [&started](SlotIndex slot, const std::vector<AggregateRecord> &records) {
                    started.activated[slot] = records;
                });
        vm->journal->addDeactivationHandler(
                [&started](SlotIndex slot) { started.deactivated.push_back(slot); });
        this->vms[name] = std::move(vm);
        return started;
    }

    /** Ends a VM without a handover. */
    void kill(const QString &name)
    {
        this->vms[name]->journal.reset();
        this->vms.erase(name);
    }

    /** Creates the next view from these VMs; adopt() delivers it. */
    void publish(const QStringList &names)
    {
        std::vector<VmDescriptor> members;
        for (const QString &name : names)
            members.push_back(this->vms.at(name)->descriptor);
        const std::uint64_t epoch = this->view ? this->view->epoch() + 1 : 1;
        this->view = std::make_shared<const ZoneView>(QStringLiteral("z"), epoch, members);
        this->history.add(this->view);
        for (const auto &[name, vm] : this->vms)
            vm->hub->setPeers(this->history.allMembers());
        this->timers.runPosted();
    }

    /** Delivers the latest view to a VM. */
    void adopt(const QString &name)
    {
        this->vms.at(name)->journal->adoptView(this->view, this->history);
        this->timers.runPosted();
    }

    /** Creates the next view from these VMs, delivers it to every VM and advances time by 2 s. */
    void changeTo(const QStringList &names)
    {
        this->publish(names);
        for (const auto &[name, vm] : this->vms)
            vm->journal->adoptView(this->view, this->history);
        this->advanceTime(std::chrono::milliseconds(2000));
    }

    void advanceTime(std::chrono::milliseconds duration)
    {
        this->timers.advance(duration);
    }

    [[nodiscard]] ReplicatedJournal &journal(const QString &name)
    {
        return *this->vms.at(name)->journal;
    }

    /** Returns the journal of the slot's owner in the latest view. */
    [[nodiscard]] ReplicatedJournal &owner(SlotIndex slot)
    {
        return this->journal(this->view->placement(slot).owner->vm);
    }

    [[nodiscard]] ReplicatedJournal &backup(SlotIndex slot)
    {
        return this->journal(this->view->placement(slot).backup->vm);
    }

    ManualTimerService timers;
    InMemoryPeerNetwork network;
    IgnoringMetricsRecorder metrics;
    JournalSettings settings;
    std::map<QString, std::unique_ptr<Vm>> vms;
    std::shared_ptr<const ZoneView> view;
    ViewHistory history;
    std::uint64_t nextIncarnation = 1;
};

} // namespace lacewingmux
