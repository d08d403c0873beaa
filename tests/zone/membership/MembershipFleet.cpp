#include "zone/membership/MembershipFleet.h"

#include "lacewingmux_zone/views/FleetViews.h"

using namespace lacewingmux;
using namespace std::chrono_literals;

MembershipFleet::MembershipFleet()
    : store(std::make_shared<InMemoryStoreServer>(this->timers))
{
    this->network.setDeliveryDelay(2ms);
    this->store->setDelay(4ms);
}

void MembershipFleet::start(const QString &vm, const QString &zone)
{
    this->kill(vm);
    Node node;
    node.descriptor.incarnation = {vm, zone, this->nextIncarnation++};
    node.descriptor.address = QStringLiteral("127.0.0.1");
    node.hub = this->network.makeHub(node.descriptor.incarnation);
    node.store = std::make_unique<InMemoryPlatformStore>(this->store, vm);
    node.membership = std::make_unique<ZoneMembership>(*node.hub, *node.store, this->timers,
                                                       this->metrics, node.descriptor);
    ZoneMembership *membership = node.membership.get();
    membership->setViewsHandler([this, membership](const auto &views, const ViewHistory &) {
        for (const auto &[name, view] : views->views())
            this->recordView(*view);
        if (this->settleSlotsAtOnce)
            membership->journalSettled(membership->ownView()->epoch());
    });
    std::vector<VmDescriptor> seeds;
    for (const auto &[name, other] : this->nodes)
        seeds.push_back(other.descriptor);
    membership->setSeeds(seeds);
    this->nodes[vm] = std::move(node);
    membership->start();
}

void MembershipFleet::kill(const QString &vm)
{
    this->nodes.erase(vm);
}

void MembershipFleet::listAsGone(const QString &vm)
{
    this->store->put("platform/vms/" + vm.toUtf8(),
                     "{\"vm\":\"" + vm.toUtf8() + R"(","zone":"z","state":"gone"})");
}

void MembershipFleet::isolate(const QString &vm)
{
    this->store->setCut(vm, true);
    for (const auto &[name, node] : this->nodes) {
        if (name != vm)
            this->network.cut(vm, name);
    }
}

void MembershipFleet::heal()
{
    this->network.healAll();
    for (const auto &[name, node] : this->nodes)
        this->store->setCut(name, false);
}

void MembershipFleet::run(std::chrono::milliseconds duration)
{
    this->timers.advance(duration);
}

bool MembershipFleet::runUntil(const std::function<bool()> &condition,
                               std::chrono::milliseconds bound)
{
    constexpr std::chrono::milliseconds step{50};
    for (std::chrono::milliseconds passed{0}; passed < bound; passed += step) {
        if (condition())
            return true;
        this->timers.advance(step);
    }
    return condition();
}

ZoneMembership &MembershipFleet::membership(const QString &vm)
{
    return *this->nodes.at(vm).membership;
}

bool MembershipFleet::isRunning(const QString &vm) const
{
    return this->nodes.contains(vm);
}

std::string MembershipFleet::members(const QString &vm)
{
    QStringList names;
    for (const VmDescriptor &member : this->membership(vm).ownView()->members())
        names.append(member.incarnation.vm);
    return names.join(u',').toStdString();
}

void MembershipFleet::recordView(const ZoneView &view)
{
    const auto [known, isNew] =
            this->seenMembers.try_emplace({view.zone(), view.epoch()}, view.members());
    if (!isNew && known->second != view.members())
        ++this->conflictingViews;
}
