#include "zone/fleet/ZoneFleet.h"

#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>

namespace lacewingmux {

using namespace std::chrono_literals;

namespace {

constexpr auto stepTime = 20ms;
constexpr std::size_t programCount = 40;

} // namespace

ZoneFleet::ZoneFleet(std::uint64_t seed)
    : random(seed)
    , control(this->timers)
    , traffic(this->timers)
{
    this->store = std::make_shared<InMemoryStoreServer>(this->timers);
    this->store->setDelay(4ms);
    for (InMemoryPeerNetwork *network : {&this->control, &this->traffic})
        network->setDeliveryDelay(2ms);
}

void ZoneFleet::start(const QString &name)
{
    this->kill(name);
    Vm &vm = this->vms[name];
    vm.descriptor.incarnation = {name, QStringLiteral("z"), this->nextIncarnation++};
    vm.descriptor.address = QStringLiteral("127.0.0.1");
    vm.controlHub = this->control.makeHub(vm.descriptor.incarnation);
    vm.trafficHub = this->traffic.makeHub(vm.descriptor.incarnation);
    vm.store = std::make_unique<InMemoryPlatformStore>(this->store, name);
    vm.journal = std::make_unique<ReplicatedJournal>(*vm.trafficHub, this->timers, this->metrics,
                                                     vm.descriptor);
    vm.claims = std::make_unique<ClaimRunner>(*vm.journal, this->checks, vm.descriptor.incarnation);
    vm.membership = std::make_unique<ZoneMembership>(*vm.controlHub, *vm.store, this->timers,
                                                     this->metrics, vm.descriptor);
    this->connectHandlers(vm);
    vm.membership->start();
}

void ZoneFleet::connectHandlers(Vm &vm)
{
    vm.membership->setViewsHandler([&vm](const auto &, const ViewHistory &history) {
        const auto view = vm.membership->ownView();
        std::vector<VmDescriptor> peers = history.allMembers();
        peers.insert(peers.end(), view->members().begin(), view->members().end());
        vm.trafficHub->setPeers(peers);
        vm.journal->adoptView(view, history);
    });
    vm.journal->setSettledHandler(
            [&vm](std::uint64_t epoch) { vm.membership->journalSettled(epoch); });
    vm.journal->setNewerEpochHandler(
            [&vm](std::uint64_t epoch) { vm.membership->newerEpochSeen(epoch); });
    std::vector<VmDescriptor> seeds;
    for (const auto &[name, other] : this->vms)
        seeds.push_back(other.descriptor);
    vm.membership->setSeeds(seeds);
}

void ZoneFleet::kill(const QString &name)
{
    const auto found = this->vms.find(name);
    if (found == this->vms.end())
        return;
    found->second.claims.reset();
    found->second.membership.reset();
    found->second.journal.reset();
    this->vms.erase(found);
}

void ZoneFleet::isolate(const QString &name)
{
    this->store->setCut(name, true);
    for (const auto &[other, vm] : this->vms) {
        if (other == name)
            continue;
        this->control.cut(name, other);
        this->traffic.cut(name, other);
    }
}

void ZoneFleet::heal()
{
    this->control.healAll();
    this->traffic.healAll();
    for (const auto &[name, vm] : this->vms)
        this->store->setCut(name, false);
}

void ZoneFleet::leave(const QString &name)
{
    this->vms.at(name).membership->leave();
}

void ZoneFleet::run(std::chrono::milliseconds duration)
{
    for (auto passed = 0ms; passed < duration; passed += stepTime) {
        this->submitClaim();
        this->timers.advance(stepTime);
    }
}

bool ZoneFleet::runUntil(const std::function<bool()> &condition)
{
    for (auto passed = 0ms; passed < 3min; passed += stepTime) {
        if (condition())
            return true;
        this->run(stepTime);
    }
    return condition();
}

bool ZoneFleet::isSettled(const std::vector<QString> &names) const
{
    return std::all_of(names.begin(), names.end(), [&](const QString &name) {
        const Vm &vm = this->vms.at(name);
        const auto view = vm.membership->ownView();
        return vm.membership->isMember() && view->members().size() == names.size()
               && vm.journal->epoch() == view->epoch() && vm.journal->isSettled();
    });
}

bool ZoneFleet::isDrained(const QString &name) const
{
    return this->vms.at(name).journal->isDrained();
}

void ZoneFleet::submitClaim()
{
    std::uint64_t epoch = 0;
    for (const auto &[name, vm] : this->vms)
        epoch = std::max(epoch, vm.journal->epoch());
    const bool resubmits = !this->claims.empty() && this->random() % 4 == 0;
    if (!resubmits) {
        const QString program = QString::number(this->random() % programCount);
        const AggregateId id(AggregateKind::Program, QStringLiteral("z"), program);
        this->claims.push_back({this->claims.size() + 1, epoch, id});
    }
    const ModelEffect claim =
            resubmits ? this->claims[this->random() % this->claims.size()] : this->claims.back();
    // Each VM that is the owner in its own view accepts the claim.
    for (auto &[name, vm] : this->vms)
        vm.claims->submit(claim);
}

} // namespace lacewingmux
