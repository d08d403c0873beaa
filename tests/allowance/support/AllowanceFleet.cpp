#include "allowance/support/AllowanceFleet.h"

#include <algorithm>

namespace lacewingmux::test {

namespace {

constexpr std::chrono::milliseconds detectionTime{1500};
constexpr std::chrono::milliseconds catchUpTime{150};

/** Faulty store, whose compare-and-swap overwrites the record whatever its revision. */
class OverwritingStore final : public PlatformStore
{
public:
    OverwritingStore(std::unique_ptr<PlatformStore> innerStore,
                     std::shared_ptr<InMemoryStoreServer> storeServer)
        : inner(std::move(innerStore))
        , server(std::move(storeServer))
    { }

    void readPrefix(const QByteArray &prefix, ReadCallback callback) override
    {
        this->inner->readPrefix(prefix, std::move(callback));
    }
    void read(const QByteArray &key, ReadCallback callback) override
    {
        this->inner->read(key, std::move(callback));
    }
    void compareAndSwap(const QByteArray &key, std::int64_t, const QByteArray &value,
                        CompareAndSwapCallback callback, std::int64_t) override
    {
        this->server->put(key, value);
        callback({CompareAndSwapOutcome::Unknown, std::nullopt});
    }
    void grantLease(std::chrono::seconds timeToLive,
                    std::function<void(std::optional<std::int64_t>)> callback) override
    {
        this->inner->grantLease(timeToLive, std::move(callback));
    }
    void keepAlive(std::int64_t leaseId, std::function<void(bool)> callback) override
    {
        this->inner->keepAlive(leaseId, std::move(callback));
    }
    std::unique_ptr<Watch> watchPrefix(const QByteArray &prefix, std::int64_t afterRevision,
                                       WatchCallback callback) override
    {
        return this->inner->watchPrefix(prefix, afterRevision, std::move(callback));
    }

private:
    std::unique_ptr<PlatformStore> inner;
    std::shared_ptr<InMemoryStoreServer> server;
};

/** Faulty transfer, which is reported as drained although the owner keeps using the parts. */
void pretendTransfers(ShareRebalancerHooks &hooks, AllowanceOwner &owner)
{
    const auto pretended = std::make_shared<std::map<ShareItem, std::uint64_t>>();
    hooks.withdrawParts = [pretended](const ShareItem &item, std::uint64_t parts) {
        (*pretended)[item] += parts;
    };
    hooks.collectDemands = [pretended, &owner](const auto &callback) {
        std::vector<ItemDemand> demands = owner.demands();
        for (ItemDemand &demand : demands)
            demand.drainedGiven += (*pretended)[demand.item];
        callback(demands);
    };
    hooks.publishShares = [&owner](const auto &table) {
        auto unreduced = std::make_shared<ShareTable>(*table);
        for (auto &[item, counters] : unreduced->countersByItem)
            counters.given = 0;
        owner.adoptShares(unreduced);
    };
}

} // namespace

AllowanceFleet::AllowanceFleet(FleetPlan fleetPlan)
    : plan(std::move(fleetPlan))
    , random(this->plan.seed)
    , network(this->timers)
    , controlNetwork(this->timers)
    , storeServer(std::make_shared<InMemoryStoreServer>(this->timers))
{
    this->storeServer->setDelay(std::chrono::milliseconds(4));
    this->controlNetwork.setDeliveryDelay(std::chrono::milliseconds(1));
    this->controlNetwork.setDetectionDelay(std::chrono::milliseconds(1000));
    this->network.setDeliveryDelay(std::chrono::milliseconds(1));
    this->network.setDetectionDelay(std::chrono::milliseconds(1000));
    auto first = std::make_shared<Configuration>();
    first->revision = 1;
    first->sitePowerCapWatts = this->plan.sitePowerCapWatts;
    first->allowances = this->plan.allowances;
    for (const Allowance &allowance : this->plan.allowances)
        first->plans.push_back({allowance.plan, allowance.plan});
    this->configuration = first;

    for (int zone = 0; zone < this->plan.zones; ++zone) {
        const QString name = zoneName(zone);
        this->domains[name] = std::make_shared<JournalDomain>(this->timers);
        this->domains[name]->ignoresFence = this->plan.faults.journalIgnoresFence;
        this->domains[name]->forgetsEntries = this->plan.faults.journalForgetsEntries;
        std::vector<VmDescriptor> members;
        for (int index = 0; index < this->plan.vmsPerZone; ++index) {
            this->makeVm(zone, index);
            members.push_back(this->descriptorOf(this->vms.back()->incarnation));
        }
        this->views[name] = std::make_shared<const ZoneView>(name, 1, members);
        this->domains[name]->adopt(*this->views[name]);
    }
    this->setConfiguration(this->configuration);
    this->deliverViewsToAll();
    this->advance(std::chrono::seconds(5)); // until the shares have been created
}

AllowanceFleet::~AllowanceFleet() = default;

QString AllowanceFleet::zoneName(int zone)
{
    return QStringLiteral("zone-%1").arg(zone);
}

void AllowanceFleet::makeVm(int zone, int index)
{
    auto vm = std::make_unique<FleetVm>();
    const QString name = QStringLiteral("vm-%1-%2").arg(zone).arg(index);
    vm->incarnation = {name, zoneName(zone), 1};
    vm->timers = std::make_unique<PausableTimers>(this->timers, this->plan.faults.clocksFreeze);
    vm->hub = this->network.makeHub(vm->incarnation);
    vm->journal = std::make_unique<ModelJournal>(this->domains.at(zoneName(zone)), vm->incarnation,
                                                 *vm->timers);
    vm->owner =
            std::make_unique<AllowanceOwner>(*vm->journal, *vm->hub, *vm->timers, this->metrics);
    vm->admission =
            std::make_unique<TeamAdmission>(*vm->hub, *vm->owner, *vm->timers, this->metrics);
    vm->admission->setBorrowing(this->plan.borrowing);
    vm->power = std::make_unique<ZonePowerBudget>(*vm->hub, *vm->owner, *vm->timers);
    this->makeRebalancer(*vm);
    this->incarnations[this->vms.size()] = vm->incarnation;
    this->vms.push_back(std::move(vm));
}

void AllowanceFleet::makeRebalancer(FleetVm &vm)
{
    vm.controlHub = this->controlNetwork.makeHub(vm.incarnation);
    vm.store = std::make_unique<InMemoryPlatformStore>(this->storeServer, vm.incarnation.vm);
    if (this->plan.faults.storeIgnoresRevision)
        vm.store = std::make_unique<OverwritingStore>(std::move(vm.store), this->storeServer);
    AllowanceOwner &owner = *vm.owner;
    ShareRebalancerHooks hooks;
    hooks.publishShares = [&owner](auto table) { owner.adoptShares(std::move(table)); };
    hooks.collectDemands = [&owner](const auto &callback) { callback(owner.demands()); };
    hooks.withdrawParts = [&owner](const auto &item, auto parts) {
        owner.withdrawParts(item, parts);
    };
    if (this->plan.faults.transfersAreNotWithdrawn)
        pretendTransfers(hooks, owner);
    hooks.adoptFencedShare = [&owner](const auto &item, const auto &counters) {
        owner.adoptFencedShare(item, counters);
    };
    std::vector<QString> zones;
    zones.reserve(static_cast<std::size_t>(this->plan.zones));
    for (int zone = 0; zone < this->plan.zones; ++zone)
        zones.push_back(zoneName(zone));
    vm.rebalancer = std::make_unique<ShareRebalancer>(*vm.store, *vm.controlHub, *vm.timers,
                                                      this->metrics, std::move(hooks), zones);
    vm.rebalancer->setTransferPolicy(this->plan.decision);
}

void AllowanceFleet::request(std::size_t vm, const QString &team)
{
    const auto arrivedAt = this->timers.now();
    this->vms.at(vm)->admission->admit(
            team, [this, arrivedAt, team](const AdmissionDecision &decision) {
                this->events.push_back({arrivedAt, this->timers.now(), team, decision.admitted,
                                        decision.refusal == ErrorKind::RateLimited});
            });
}

void AllowanceFleet::advance(std::chrono::milliseconds duration)
{
    this->timers.advance(duration);
}

void AllowanceFleet::kill(std::size_t vm)
{
    if (!this->vms.at(vm))
        return;
    const VmIncarnation incarnation = this->vms[vm]->incarnation;
    this->vms[vm].reset();
    this->pending.push_back(this->timers.after(
            detectionTime, [this, incarnation] { this->dropFromView(incarnation); }));
}

void AllowanceFleet::pause(std::size_t vm)
{
    FleetVm &stopped = *this->vms.at(vm);
    stopped.paused = true;
    stopped.timers->pause();
    this->network.pause(stopped.incarnation.vm);
    this->controlNetwork.pause(stopped.incarnation.vm);
    this->pending.push_back(
            this->timers.after(detectionTime, [this, vm, incarnation = stopped.incarnation] {
                if (this->vms[vm] && this->vms[vm]->paused)
                    this->dropFromView(incarnation);
            }));
}

void AllowanceFleet::resume(std::size_t vm)
{
    FleetVm &stopped = *this->vms.at(vm);
    stopped.paused = false;
    this->network.resume(stopped.incarnation.vm);
    this->controlNetwork.resume(stopped.incarnation.vm);
    stopped.timers->resume();
    this->pending.push_back(this->timers.after(catchUpTime, [this, vm] {
        if (this->vms[vm])
            this->deliverViews(*this->vms[vm]);
    }));
}

void AllowanceFleet::cutZone(int zone)
{
    QStringList inside;
    QStringList outside;
    for (const auto &[index, incarnation] : this->incarnations)
        (incarnation.zone == zoneName(zone) ? inside : outside).append(incarnation.vm);
    this->network.cutGroups(inside, outside);
    this->controlNetwork.cutGroups(inside, outside);
    for (const QString &vm : inside)
        this->storeServer->setCut(vm, true);
}

void AllowanceFleet::healZones()
{
    this->network.healAll();
    this->controlNetwork.healAll();
    for (const auto &[index, incarnation] : this->incarnations)
        this->storeServer->setCut(incarnation.vm, false);
}

void AllowanceFleet::setConfiguration(const std::shared_ptr<const Configuration> &accepted)
{
    this->configuration = accepted;
    for (const auto &vm : this->vms) {
        if (!vm)
            continue;
        vm->owner->adoptConfiguration(accepted);
        vm->admission->adoptConfiguration(accepted);
        vm->power->adoptConfiguration(accepted);
        vm->rebalancer->adoptConfiguration(accepted);
    }
}

std::vector<std::size_t> AllowanceFleet::running(int zone) const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
        const FleetVm *vm = this->vms[index].get();
        if (vm != nullptr && !vm->paused && vm->incarnation.zone == zoneName(zone))
            found.push_back(index);
    }
    return found;
}

std::vector<std::size_t> AllowanceFleet::running() const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
        if (this->vms[index] && !this->vms[index]->paused)
            found.push_back(index);
    }
    return found;
}

void AllowanceFleet::loseJournal(int zone)
{
    const QString name = zoneName(zone);
    const auto before = this->views.at(name);
    for (auto &records : this->domains.at(name)->records)
        records.clear();
    this->views[name] =
            std::make_shared<const ZoneView>(name, before->epoch() + 1, before->members());
    const ZoneView emptyView(name, before->epoch(), {});
    for (const std::size_t vm : this->running(zone)) {
        this->vms[vm]->journal->applyView(emptyView);
        this->vms[vm]->journal->activeStatus = SlotStatus::ActiveIncomplete;
    }
    this->deliverViewsToAll();
}

std::uint64_t AllowanceFleet::partsInUse(const ShareItem &item) const
{
    std::uint64_t parts = 0;
    for (const auto &vm : this->vms) {
        if (!vm)
            continue;
        const QString zone = vm->incarnation.zone;
        const SlotIndex slot = item.aggregateIn(zone).slot();
        if (!this->domains.at(zone)->mayCommit(vm->incarnation, slot))
            continue;
        for (const ItemDemand &demand : vm->owner->demands()) {
            if (demand.item == item)
                parts += demand.share.parts();
        }
    }
    return parts;
}

std::uint64_t AllowanceFleet::partsInStore(const ShareItem &item) const
{
    const auto stored = this->storeServer->table().find(ShareRecord::keyOf(item));
    const auto record = stored ? ShareRecord::decode(stored->value) : std::nullopt;
    const SharesByZone *shares = record ? record->find(item) : nullptr;
    std::uint64_t parts = 0;
    if (shares != nullptr) {
        for (const auto &[zone, share] : *shares)
            parts += share.counters.parts();
    }
    return parts;
}

void AllowanceFleet::dropFromView(const VmIncarnation &vm)
{
    const ZoneView &before = *this->views.at(vm.zone);
    std::vector<VmDescriptor> members;
    for (const VmDescriptor &member : before.members()) {
        if (!(member.incarnation == vm))
            members.push_back(member);
    }
    if (members.empty() || members.size() == before.members().size())
        return;
    this->views[vm.zone] = std::make_shared<const ZoneView>(vm.zone, before.epoch() + 1, members);
    this->domains.at(vm.zone)->adopt(*this->views[vm.zone]);
    this->deliverViewsToAll();
}

void AllowanceFleet::deliverViews(FleetVm &vm)
{
    const auto fleet = std::make_shared<const FleetViews>(this->views);
    vm.hub->setPeers(fleet->allMembers());
    vm.journal->applyView(*this->views.at(vm.incarnation.zone));
    vm.owner->adoptViews(fleet);
    vm.admission->adoptViews(fleet);
    vm.power->adoptViews(fleet);
    vm.controlHub->setPeers(fleet->allMembers());
    vm.rebalancer->adoptViews(fleet);
}

void AllowanceFleet::deliverViewsToAll()
{
    for (const auto &vm : this->vms) {
        if (vm && !vm->paused)
            this->deliverViews(*vm);
    }
}

VmDescriptor AllowanceFleet::descriptorOf(const VmIncarnation &vm) const
{
    VmDescriptor descriptor;
    descriptor.incarnation = vm;
    return descriptor;
}

} // namespace lacewingmux::test
