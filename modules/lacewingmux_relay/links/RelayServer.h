#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <QByteArray>

#include <functional>
#include <map>
#include <vector>

namespace lacewingmux {

/**
    Sends the store's contents to the VMs that subscribe to this one.

    A subscription must be renewed regularly. A new subscriber first receives the whole contents,
    which the hook provides, and then every update, and regularly how recent the data is.
*/
class RelayServer
{
public:
    struct Hooks
    {
        /** A new subscriber needs the whole contents, by sendContents(). */
        std::function<void(const VmIncarnation &subscriber)> contentsNeeded;
        /** Called with whether there are subscribers. */
        std::function<void(bool)> demandChanged;
    };

    RelayServer(PeerHub &peerHub, TimerService &timerService, Hooks serverHooks);

    /** Sends the encoded full updates of all prefixes to a new subscriber. */
    void sendContents(const VmIncarnation &subscriber, const std::vector<QByteArray> &updates);

    /** Sends an encoded update to all subscribers that have the contents. */
    void broadcast(const QByteArray &update);

    /** Sets whether the store is reachable, and when it last answered. A long time between two
        answers counts as an interruption. */
    void setContact(bool reachable, TimerService::SteadyTime lastAnswer);

    /** Number of subscribers. */
    [[nodiscard]] std::size_t subscriberCount() const noexcept
    {
        return this->subscribers.size();
    }

private:
    struct Subscriber
    {
        TimerService::SteadyTime renewed;
        bool hasContents = false;
    };

    void handleSubscribe(const VmIncarnation &peer);
    void removeSubscriber(const VmIncarnation &peer);
    void expireSubscribers();
    void sendStatus(const VmIncarnation &subscriber);
    void sendStatusToAll();

    PeerHub &hub;
    TimerService &timers;
    Hooks hooks;
    std::map<VmIncarnation, Subscriber> subscribers;
    bool storeReachable = false;
    TimerService::SteadyTime lastContact;
    TimerService::SteadyTime reachableSince; ///< without interruption
    TimerSubscription statusTimer;
};

} // namespace lacewingmux
