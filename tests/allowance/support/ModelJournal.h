#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux::test {

class ModelJournal;

/**
    Simulates the replicated slots of one zone as their backups hold them: the VMs that may commit,
    and the entries. A view change takes effect here at once, and reaches a replaced VM later.
*/
class JournalDomain
{
public:
    explicit JournalDomain(TimerService &sharedTimers)
        : timers(sharedTimers)
    { }

    /** Applies a view, after which only the owners of its slots may commit. */
    void adopt(const ZoneView &view)
    {
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
            this->owners.at(slot) = view.placement(slot).owner;
    }

    bool mayCommit(const VmIncarnation &vm, SlotIndex slot) const
    {
        return this->ignoresFence || this->owners.at(slot) == vm;
    }

    bool ignoresFence = false;   ///< fault: a replaced owner may still commit
    bool forgetsEntries = false; ///< fault: a committed entry is not stored

    TimerService &timers;
    std::array<std::map<AggregateId, QByteArray>, slotsPerZone> records;

private:
    std::array<std::optional<VmIncarnation>, slotsPerZone> owners;
};

/** A VM's journal in a JournalDomain. Entries take 1 ms to the backup and replies 2 ms in all. */
class ModelJournal final : public Journal
{
public:
    ModelJournal(std::shared_ptr<JournalDomain> sharedDomain, VmIncarnation ownIncarnation,
                 TimerService &ownTimers)
        : domain(std::move(sharedDomain))
        , self(std::move(ownIncarnation))
        , timers(ownTimers)
    { }

    ~ModelJournal() override
    {
        *this->alive = false;
    }

    SlotStatus status(SlotIndex slot) const override
    {
        return this->active.count(slot) > 0 ? this->activeStatus : SlotStatus::NotOwner;
    }

    void append(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override
    {
        this->replace(aggregate, entry, std::move(callback));
    }

    void replace(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override
    {
        // An entry in transit takes effect at the backup even if the sender is killed.
        const SlotIndex slot = aggregate.slot();
        auto outcome = std::make_shared<AppendOutcome>(AppendOutcome::SteppedDown);
        const bool isOwner = this->active.count(slot) > 0;
        this->arrivals.push_back(this->domain->timers.after(
                std::chrono::milliseconds(1), [domain = this->domain, self = this->self, slot,
                                               aggregate, entry, outcome, isOwner] {
                    if (!isOwner || !domain->mayCommit(self, slot))
                        return;
                    if (!domain->forgetsEntries)
                        domain->records.at(slot)[aggregate] = entry;
                    *outcome = AppendOutcome::Committed;
                }));
        this->acks.push_back(this->timers.after(
                std::chrono::milliseconds(2),
                [callback = std::move(callback), outcome] { callback(*outcome); }));
        if (this->acks.size() > 4096) {
            this->acks.erase(this->acks.begin(), this->acks.begin() + 2048);
            this->arrivals.erase(this->arrivals.begin(), this->arrivals.begin() + 2048);
        }
    }

    void remove(const AggregateId &, Callback) override
    { }
    void confirmOwnership(SlotIndex, Callback) override
    { }
    void addActivationHandler(ActivationHandler handler) override
    {
        this->activationHandlers.push_back(std::move(handler));
    }
    void addDeactivationHandler(DeactivationHandler handler) override
    {
        this->deactivationHandlers.push_back(std::move(handler));
    }

    /** Applies a view to this VM: deactivates the slots it lost and activates those it gained. */
    void applyView(const ZoneView &view)
    {
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot) {
            const bool isOwner = view.placement(slot).owner == this->self;
            if (isOwner && this->active.insert(slot).second)
                this->activate(slot);
            else if (!isOwner && this->active.erase(slot) > 0)
                this->deactivate(slot);
        }
    }

    SlotStatus activeStatus = SlotStatus::Active; ///< status of owned slots

private:
    void activate(SlotIndex slot)
    {
        std::vector<AggregateRecord> records;
        for (const auto &[id, entry] : this->domain->records.at(slot))
            records.push_back({id, {entry}});
        for (const auto &handler : this->activationHandlers)
            handler(slot, records);
    }
    void deactivate(SlotIndex slot)
    {
        for (const auto &handler : this->deactivationHandlers)
            handler(slot);
    }

    std::shared_ptr<JournalDomain> domain;
    VmIncarnation self;
    TimerService &timers;
    std::set<SlotIndex> active;
    std::vector<ActivationHandler> activationHandlers;
    std::vector<DeactivationHandler> deactivationHandlers;
    std::vector<TimerSubscription> arrivals;
    std::vector<TimerSubscription> acks;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux::test
