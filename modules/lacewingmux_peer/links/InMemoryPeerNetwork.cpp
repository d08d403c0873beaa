#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"

#include "lacewingmux_peer/links/InMemoryPeerHub.h"

#include <algorithm>

namespace lacewingmux {

namespace {

std::pair<VmIncarnation, VmIncarnation> ordered(const VmIncarnation &first,
                                                const VmIncarnation &second)
{
    return first < second ? std::pair(first, second) : std::pair(second, first);
}

std::pair<VmIncarnation, VmIncarnation>
reversed(const std::pair<VmIncarnation, VmIncarnation> &route)
{
    return {route.second, route.first};
}

} // namespace

InMemoryPeerNetwork::InMemoryPeerNetwork(TimerService &timerService)
    : timers(timerService)
    , alive(std::make_shared<bool>(true))
{ }

InMemoryPeerNetwork::~InMemoryPeerNetwork() = default;

std::unique_ptr<PeerHub> InMemoryPeerNetwork::makeHub(const VmIncarnation &incarnation)
{
    auto hub = std::make_unique<InMemoryPeerHub>(*this, incarnation);
    this->hubs[incarnation] = hub.get();
    this->evaluateAll();
    return hub;
}

void InMemoryPeerNetwork::setDeliveryDelay(std::chrono::milliseconds delay)
{
    this->deliveryDelay = delay;
}

void InMemoryPeerNetwork::setDetectionDelay(std::chrono::milliseconds delay)
{
    this->detectionDelay = delay;
}

void InMemoryPeerNetwork::setReconnectDelay(std::chrono::milliseconds delay)
{
    this->reconnectDelay = delay;
}

void InMemoryPeerNetwork::cut(const QString &vm, const QString &otherVm)
{
    this->cutGroups({vm}, {otherVm});
}

void InMemoryPeerNetwork::cutOneWay(const QString &fromVm, const QString &toVm)
{
    this->cuts.insert({fromVm, toVm});
    this->evaluateAll();
}

void InMemoryPeerNetwork::cutGroups(const QStringList &vms, const QStringList &otherVms)
{
    for (const QString &vm : vms) {
        for (const QString &otherVm : otherVms) {
            this->cuts.insert({vm, otherVm});
            this->cuts.insert({otherVm, vm});
        }
    }
    this->evaluateAll();
}

void InMemoryPeerNetwork::heal(const QString &vm, const QString &otherVm)
{
    this->cuts.erase({vm, otherVm});
    this->cuts.erase({otherVm, vm});
    this->evaluateAll();
}

void InMemoryPeerNetwork::healAll()
{
    this->cuts.clear();
    this->evaluateAll();
}

void InMemoryPeerNetwork::pause(const QString &vm)
{
    this->pausedVms.insert(vm);
    this->evaluateAll();
}

void InMemoryPeerNetwork::resume(const QString &vm)
{
    this->pausedVms.erase(vm);
    this->evaluateAll();
}

void InMemoryPeerNetwork::breakLink(const QString &vm, const QString &otherVm)
{
    std::vector<Route> broken;
    for (const auto &[pair, link] : this->links) {
        const bool matches = (pair.first.vm == vm && pair.second.vm == otherVm)
                             || (pair.first.vm == otherVm && pair.second.vm == vm);
        if (matches && link.established)
            broken.push_back(pair);
    }
    for (const Route &pair : broken)
        this->breakEstablished(pair, true);
    this->evaluateAll();
}

void InMemoryPeerNetwork::remove(InMemoryPeerHub *hub)
{
    const VmIncarnation &gone = hub->self();
    this->hubs.erase(gone);
    std::vector<Route> broken;
    for (const auto &[pair, link] : this->links) {
        if (link.established && (pair.first == gone || pair.second == gone))
            broken.push_back(pair);
    }
    for (const Route &pair : broken)
        this->breakEstablished(pair, false);
    std::erase_if(this->links, [&gone](const auto &entry) {
        return entry.first.first == gone || entry.first.second == gone;
    });
    std::erase_if(this->lanes, [&gone](const auto &entry) { return entry.first.second == gone; });
}

void InMemoryPeerNetwork::sendFrame(const VmIncarnation &from, const VmIncarnation &to,
                                    const PeerFrame &frame)
{
    const auto link = this->links.find(ordered(from, to));
    // The end may not have noticed yet that its link broke: what it sends then is lost.
    if (link != this->links.end() && link->second.established)
        this->push({from, to}, ItemKind::Frame, frame);
}

void InMemoryPeerNetwork::evaluateAll()
{
    for (auto first = this->hubs.begin(); first != this->hubs.end(); ++first) {
        for (auto second = std::next(first); second != this->hubs.end(); ++second) {
            const Route pair(first->first, second->first);
            this->evaluate(pair);
            this->scheduleLane(pair);
            this->scheduleLane(reversed(pair));
        }
    }
}

void InMemoryPeerNetwork::evaluate(const Route &pair)
{
    const bool possible = this->canBeUp(pair);
    if (!possible && this->links.count(pair) == 0)
        return;

    Link &link = this->links[pair];
    if (possible) {
        link.breaking = false;
        link.detection.cancel();
        if (!link.established)
            this->establish(pair);
        return;
    }
    if (link.established && !this->isWanted(pair)) {
        this->breakEstablished(pair, false);
        return;
    }
    if (link.established && this->detectionDelay.count() == 0) {
        this->breakEstablished(pair, true);
        return;
    }
    if (!link.established || link.breaking)
        return;
    link.breaking = true;
    link.detection = this->timers.after(this->detectionDelay,
                                        [this, pair] { this->breakEstablished(pair, true); });
}

bool InMemoryPeerNetwork::canBeUp(const Route &pair) const
{
    return this->hubs.count(pair.first) > 0 && this->hubs.count(pair.second) > 0
           && !this->isPaused(pair.first) && !this->isPaused(pair.second) && !this->isBlocked(pair)
           && !this->isBlocked(reversed(pair)) && this->isWanted(pair);
}

bool InMemoryPeerNetwork::isWanted(const Route &pair) const
{
    return this->hubs.at(pair.first)->wants(pair.second)
           || this->hubs.at(pair.second)->wants(pair.first);
}

bool InMemoryPeerNetwork::isBlocked(const Route &route) const
{
    return this->cuts.count({route.first.vm, route.second.vm}) > 0;
}

bool InMemoryPeerNetwork::isPaused(const VmIncarnation &hub) const
{
    return this->pausedVms.count(hub.vm) > 0;
}

void InMemoryPeerNetwork::establish(const Route &pair)
{
    Link &link = this->links[pair];
    const TimerService::SteadyTime now = this->timers.now();
    if (now < link.notBefore) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(link.notBefore - now);
        link.reconnection = this->timers.after(wait, [this] { this->evaluateAll(); });
        return;
    }
    link.established = true;
    this->push(pair, ItemKind::LinkUp, {});
    this->push(reversed(pair), ItemKind::LinkUp, {});
}

void InMemoryPeerNetwork::breakEstablished(const Route &pair, bool loseFrames)
{
    Link &link = this->links[pair];
    if (!link.established)
        return;
    link.established = false;
    link.breaking = false;
    link.notBefore = this->timers.now() + this->reconnectDelay;
    this->closeLane(pair, loseFrames);
    this->closeLane(reversed(pair), loseFrames);
}

void InMemoryPeerNetwork::closeLane(const Route &route, bool loseFrames)
{
    // What had reached a stopped process waits in its socket and outlives the link.
    const bool keptByReceiver = this->isPaused(route.second) && !this->isBlocked(route);
    if (loseFrames && !keptByReceiver) {
        std::erase_if(this->lanes[route].items,
                      [](const Item &item) { return item.kind == ItemKind::Frame; });
    }
    this->push(route, ItemKind::LinkDown, {});
}

void InMemoryPeerNetwork::push(const Route &route, ItemKind kind, const PeerFrame &frame)
{
    Lane &lane = this->lanes[route];
    TimerService::SteadyTime due = this->timers.now() + this->deliveryDelay;
    if (!lane.items.empty())
        due = std::max(due, lane.items.back().due);
    lane.items.push_back(Item{kind, due, frame});
    this->scheduleLane(route);
}

void InMemoryPeerNetwork::scheduleLane(const Route &route)
{
    const auto found = this->lanes.find(route);
    if (found == this->lanes.end() || found->second.items.empty())
        return;
    const auto wait = found->second.items.front().due - this->timers.now();
    if (wait > TimerService::SteadyTime::duration::zero()) {
        found->second.wakeUp =
                this->timers.after(std::chrono::ceil<std::chrono::milliseconds>(wait),
                                   [this, route] { this->runLane(route); });
        return;
    }
    this->timers.post([this, route, token = std::weak_ptr<bool>(this->alive)] {
        if (!token.expired())
            this->runLane(route);
    });
}

void InMemoryPeerNetwork::runLane(const Route &route)
{
    while (true) {
        const auto lane = this->lanes.find(route);
        const auto receiver = this->hubs.find(route.second);
        if (lane == this->lanes.end() || receiver == this->hubs.end() || lane->second.items.empty())
            return;
        const Item &next = lane->second.items.front();
        const bool held = next.kind == ItemKind::Frame && this->isBlocked(route);
        if (held || this->isPaused(route.second))
            return;
        if (next.due > this->timers.now()) {
            this->scheduleLane(route);
            return;
        }
        const Item item = next;
        lane->second.items.pop_front();
        if (item.kind == ItemKind::Frame)
            receiver->second->receive(route.first, item.frame);
        else
            receiver->second->noticeLink(route.first, item.kind == ItemKind::LinkUp);
    }
}

} // namespace lacewingmux
