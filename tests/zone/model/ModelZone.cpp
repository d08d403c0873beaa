#include "zone/model/ModelZone.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <chrono>

namespace lacewingmux {

namespace {

using namespace std::chrono_literals;

constexpr SlotIndex slotCount = 3;
constexpr std::size_t aggregateCount = 5;
constexpr std::size_t maxVms = 4;

JournalSettings settings()
{
    JournalSettings settings;
    settings.slotCount = slotCount;
    settings.frameBytes = 100; // small, so that a slot needs several pieces
    settings.concurrentTransfers = 2;
    return settings;
}

} // namespace

ModelZone::ModelZone(std::uint64_t scheduleSeed, ModelRules modelRules,
                     const JournalFaults &journalFaults)
    : random(scheduleSeed)
    , rules(modelRules)
    , faults(journalFaults)
{
    for (int number = 0; this->aggregates.size() < aggregateCount; ++number) {
        const AggregateId id(AggregateKind::Program, QStringLiteral("z"), QString::number(number));
        if (id.slot() < slotCount)
            this->aggregates.push_back(id);
    }
    this->faultsPerThousandSteps = std::size_t{2} << (2 * this->randomBelow(3));
    const int first = 2 + static_cast<int>(this->randomBelow(2));
    std::vector<VmDescriptor> members;
    for (int number = 0; number < first; ++number) {
        this->makeVm(number);
        members.push_back(this->vms.back()->descriptor);
    }
    this->publish(members);
}

ModelZone::~ModelZone() = default;

void ModelZone::run(int steps)
{
    for (int done = 0; done < steps && this->checks.violations().empty(); ++done)
        this->step();
}

void ModelZone::step()
{
    if (this->randomBelow(1000) < this->faultsPerThousandSteps) {
        this->injectFault();
        return;
    }
    const std::size_t choice = this->randomBelow(100);
    ModelVm &vm = this->randomVm();
    if (choice < 45)
        this->network.deliverOne(this->random);
    else if (choice < 85)
        this->submitOrConfirm(choice);
    else if (!vm.paused && choice < 90)
        vm.timers.advance(std::chrono::milliseconds(20 + this->randomBelow(400)));
    else if (!vm.paused && choice < 95)
        this->deliverView(vm);
}

void ModelZone::submitOrConfirm(std::size_t choice)
{
    ModelVm &vm = this->randomVm();
    if (choice < 70 && !vm.paused)
        vm.timers.runPosted();
    else if (choice < 83)
        this->submitClaim();
    else
        vm.claims.confirm(static_cast<SlotIndex>(this->randomBelow(slotCount)));
}

void ModelZone::injectFault()
{
    ModelVm &vm = this->randomVm();
    ModelVm &other = this->randomVm();
    switch (this->randomBelow(8)) {
    case 0:
    case 1:
        vm.paused = !vm.paused;
        this->network.setPaused(vm.hub.self(), vm.paused);
        break;
    case 2:
    case 3:
        if (&vm != &other)
            this->network.breakLink(vm.hub.self(), other.hub.self());
        break;
    case 4:
        if (&vm != &other && this->randomBelow(2) == 0)
            this->network.cut(vm.hub.self(), other.hub.self());
        else
            this->network.healAll();
        break;
    case 5:
    case 6:
        this->changeView();
        break;
    default:
        if (this->randomBelow(3) == 0)
            this->crash();
        break;
    }
}

void ModelZone::submitClaim()
{
    const bool again = !this->claims.empty() && this->randomBelow(3) == 0;
    if (!again)
        this->claims.push_back({this->claims.size() + 1, this->view->epoch(),
                                this->aggregates[this->randomBelow(aggregateCount)]});
    const ModelEffect claim =
            again ? this->claims[this->randomBelow(this->claims.size())] : this->claims.back();
    ModelVm &vm = this->randomVm();
    if (vm.paused)
        return;
    const auto owner = vm.journal.epoch() == 0 ? std::nullopt
                                               : this->history.view(vm.journal.epoch())
                                                         ->placement(claim.aggregate.slot())
                                                         .owner;
    ModelVm *target = owner ? this->find(*owner) : nullptr;
    if (target != nullptr && !target->paused)
        target->claims.submit(claim);
}

void ModelZone::changeView()
{
    if (this->randomBelow(2) == 0) {
        this->join();
        return;
    }
    const std::size_t count = this->view->members().size();
    if (count > 1 && this->mayRemoveOne())
        this->drop(this->randomBelow(count));
}

void ModelZone::join()
{
    std::vector<VmDescriptor> members = this->view->members();
    if (members.size() >= maxVms)
        return;
    for (const auto &vm : this->vms) {
        const bool replaces =
                std::any_of(members.begin(), members.end(), [&vm](const VmDescriptor &member) {
                    return member.incarnation.vm == vm->descriptor.incarnation.vm;
                });
        if (!replaces) {
            members.push_back(vm->descriptor);
            this->publish(members);
            return;
        }
    }
    if (this->vms.size() < maxVms)
        this->makeVm(static_cast<int>(this->nextIncarnation) + 10);
}

void ModelZone::drop(std::size_t index)
{
    std::vector<VmDescriptor> members = this->view->members();
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
    this->publish(members);
}

void ModelZone::crash()
{
    if (this->vms.size() < 2 || !this->mayRemoveOne())
        return;
    const std::size_t index = this->randomBelow(this->vms.size());
    const VmIncarnation gone = this->vms[index]->descriptor.incarnation;
    this->vms.erase(this->vms.begin() + static_cast<std::ptrdiff_t>(index));
    if (!this->view->contains(gone))
        return;
    std::vector<VmDescriptor> members = this->view->members();
    std::erase_if(members, [&gone](const VmDescriptor &vm) { return vm.incarnation == gone; });
    if (!members.empty() && this->randomBelow(2) == 0) {
        this->publish(members);
        return;
    }
    this->makeVm(gone.vm.mid(2).toInt());
    members.push_back(this->vms.back()->descriptor);
    this->publish(members);
}

bool ModelZone::mayRemoveOne() const
{
    if (this->rules == ModelRules::Unrestricted)
        return true;
    const std::vector<VmDescriptor> &members = this->view->members();
    return members.size() > 1
           && std::all_of(members.begin(), members.end(), [this](const VmDescriptor &member) {
                  const ModelVm *vm = this->find(member.incarnation);
                  return vm != nullptr && vm->journal.epoch() == this->view->epoch()
                         && vm->journal.isSettled();
              });
}

void ModelZone::publish(std::vector<VmDescriptor> members)
{
    const std::uint64_t epoch = this->view ? this->view->epoch() + 1 : 1;
    this->view = std::make_shared<const ZoneView>(QStringLiteral("z"), epoch, std::move(members));
    this->history.add(this->view);
}

void ModelZone::deliverView(ModelVm &vm)
{
    vm.journal.adoptView(this->view, this->history);
}

void ModelZone::recoverAndConverge()
{
    if (!this->checks.violations().empty())
        return;
    this->network.healAll();
    for (const auto &vm : this->vms) {
        vm->paused = false;
        this->network.setPaused(vm->hub.self(), false);
    }
    std::vector<VmDescriptor> members;
    for (const auto &vm : this->vms)
        members.push_back(vm->descriptor);
    if (this->rules == ModelRules::Unrestricted)
        this->publish(members);
    for (int round = 0; round < 1500 && !(round > 50 && this->hasConverged()); ++round) {
        for (const auto &vm : this->vms) {
            this->deliverView(*vm);
            vm->timers.advance(100ms);
        }
        while (this->network.deliverOne(this->random)) { }
    }
    if (!this->hasConverged())
        this->checks.addViolation("the zone does not converge");
    for (const auto &vm : this->vms) {
        for (SlotIndex slot = 0; slot < slotCount; ++slot) {
            const SlotStatus status = vm->journal.status(slot);
            if (status == SlotStatus::Active || status == SlotStatus::ActiveIncomplete)
                this->checks.activated(
                        vm->descriptor.incarnation, slot, vm->journal.position(slot).activation,
                        vm->journal.completeSince(slot), vm->journal.records(slot).toRecords());
        }
    }
}

bool ModelZone::hasConverged() const
{
    return std::all_of(this->vms.begin(), this->vms.end(), [this](const auto &vm) {
        return this->view->contains(vm->descriptor.incarnation) ? vm->journal.isSettled()
                                                                : vm->journal.isDrained();
    });
}

ModelVm &ModelZone::randomVm()
{
    return *this->vms[this->randomBelow(this->vms.size())];
}

ModelVm *ModelZone::find(const VmIncarnation &incarnation) const
{
    for (const auto &vm : this->vms) {
        if (vm->descriptor.incarnation == incarnation)
            return vm.get();
    }
    return nullptr;
}

std::size_t ModelZone::randomBelow(std::size_t limit)
{
    return static_cast<std::size_t>(this->random() % limit);
}

void ModelZone::makeVm(int number)
{
    VmDescriptor descriptor;
    descriptor.incarnation = {QStringLiteral("vm%1").arg(number), QStringLiteral("z"),
                              this->nextIncarnation++};
    this->vms.push_back(std::make_unique<ModelVm>(this->network, this->checks, descriptor,
                                                  settings(), this->faults));
}

} // namespace lacewingmux
