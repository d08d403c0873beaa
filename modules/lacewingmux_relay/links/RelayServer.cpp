#include "lacewingmux_relay/links/RelayServer.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_relay/messages/RelayCodec.h"

#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds statusInterval{400};
constexpr milliseconds subscriptionTime{3000}; // three renewals
constexpr milliseconds maximumAnswerGap{3200}; // above the longest poll of a relay's watches

} // namespace

RelayServer::RelayServer(PeerHub &peerHub, TimerService &timerService, Hooks serverHooks)
    : hub(peerHub)
    , timers(timerService)
    , hooks(std::move(serverHooks))
{
    this->hub.setHandler(FrameKind::RelaySubscribe,
                         [this](const auto &peer, const auto &) { this->handleSubscribe(peer); });
    this->hub.addLinkHandler([this](const VmIncarnation &peer, bool up) {
        if (!up)
            this->removeSubscriber(peer);
    });
    this->statusTimer = this->timers.every(statusInterval, [this] {
        this->expireSubscribers();
        this->sendStatusToAll();
    });
}

void RelayServer::sendContents(const VmIncarnation &subscriber,
                               const std::vector<QByteArray> &updates)
{
    const auto found = this->subscribers.find(subscriber);
    if (found == this->subscribers.end())
        return;
    found->second.hasContents = true;
    for (const QByteArray &update : updates)
        this->hub.send(subscriber, {FrameKind::RelayUpdate, 0, 0, update});
    this->sendStatus(subscriber);
}

void RelayServer::broadcast(const QByteArray &update)
{
    for (const auto &[peer, subscriber] : this->subscribers) {
        if (subscriber.hasContents)
            this->hub.send(peer, {FrameKind::RelayUpdate, 0, 0, update});
    }
}

void RelayServer::setContact(bool reachable, TimerService::SteadyTime lastAnswer)
{
    if (!this->storeReachable || lastAnswer - this->lastContact > maximumAnswerGap)
        this->reachableSince = lastAnswer;
    this->lastContact = lastAnswer;
    if (std::exchange(this->storeReachable, reachable) != reachable)
        this->sendStatusToAll();
}

void RelayServer::handleSubscribe(const VmIncarnation &peer)
{
    const bool wasIdle = this->subscribers.empty();
    const auto [entry, isNew] = this->subscribers.try_emplace(peer);
    entry->second.renewed = this->timers.now();
    if (wasIdle)
        this->hooks.demandChanged(true);
    // Repeated until the contents are sent: right after its start this VM does not know them yet.
    if (!entry->second.hasContents)
        this->hooks.contentsNeeded(peer);
}

void RelayServer::removeSubscriber(const VmIncarnation &peer)
{
    if (this->subscribers.erase(peer) > 0 && this->subscribers.empty())
        this->hooks.demandChanged(false);
}

void RelayServer::expireSubscribers()
{
    std::vector<VmIncarnation> expired;
    for (const auto &[peer, subscriber] : this->subscribers) {
        if (this->timers.now() - subscriber.renewed > subscriptionTime)
            expired.push_back(peer);
    }
    for (const VmIncarnation &peer : expired)
        this->removeSubscriber(peer);
}

void RelayServer::sendStatus(const VmIncarnation &subscriber)
{
    const TimerService::SteadyTime now = this->timers.now();
    RelayStatus status;
    status.storeReachable = this->storeReachable;
    status.contactAge = std::chrono::floor<milliseconds>(now - this->lastContact);
    if (this->storeReachable)
        status.reachableFor = std::chrono::floor<milliseconds>(now - this->reachableSince);
    this->hub.send(subscriber, {FrameKind::RelayStatus, 0, 0, RelayCodec::encodeStatus(status)});
}

void RelayServer::sendStatusToAll()
{
    for (const auto &[peer, subscriber] : this->subscribers) {
        if (subscriber.hasContents)
            this->sendStatus(peer);
    }
}

} // namespace lacewingmux
