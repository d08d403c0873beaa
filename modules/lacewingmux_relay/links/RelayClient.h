#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_relay/links/RelayContact.h"
#include "lacewingmux_relay/messages/RelayStatus.h"
#include "lacewingmux_relay/messages/RelayUpdate.h"

#include <QByteArray>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    Subscribes this VM to two relays, one of its own availability zone and one of another, and to
    further ones while none of them has recent data, up to a bit more than a third of all or six.

    All VMs prefer the same relay of a zone, so one VM of each zone watches the store for the
   others. If it stops, the next in rank gets the subscribers of its zone and begins to watch. A VM
   that is the first of its own zone serves itself from the store, and subscribes to relays while
   the store does not answer it.
*/
class RelayClient
{
public:
    struct Hooks
    {
        std::function<void(const RelayUpdate &)> update;
        /** Called when the state or the set of served prefixes changes, and when a relay turns out
            to have reached the store for longer than was known. */
        std::function<void(const RelayContact &)> contactChanged;
        /** Called with whether this VM is the preferred relay of its zone. */
        std::function<void(bool)> isPreferredRelay;
    };

    RelayClient(PeerHub &peerHub, TimerService &timerService, Hooks clientHooks);

    /** Sets the VMs that can relay. */
    void setCandidates(const std::vector<VmIncarnation> &candidates);

    /** Sets whether the store answers this VM; matters only if it is a preferred relay. */
    void setStoreReachable(bool reachable);

    /** Returns the candidates in the order in which a VM of the zone prefers them. */
    [[nodiscard]] static std::vector<VmIncarnation>
    ranked(const std::vector<VmIncarnation> &candidates, const QString &zone);

private:
    struct Relay
    {
        TimerService::SteadyTime subscribedSince;
        TimerService::SteadyTime lastSubscribed;
        bool hasContents = false;
        std::optional<RelayStatus> status; ///< as last received
        TimerService::SteadyTime statusAt;
    };

    void check();
    /** Returns the connected relays to subscribe to; skips this VM itself. */
    [[nodiscard]] std::vector<VmIncarnation> wantedRelays() const;
    [[nodiscard]] std::size_t maximumRelays() const;
    [[nodiscard]] bool servesItself() const;
    [[nodiscard]] bool selfIsFirst() const;
    void updateContact();
    void logContact() const;
    [[nodiscard]] bool isRecent(const Relay &relay) const;
    [[nodiscard]] bool isAnswering(const Relay &relay) const;
    /** Returns whether a relay that has been subscribed to for a while has no recent data. */
    [[nodiscard]] bool isFailing(const VmIncarnation &candidate) const;
    [[nodiscard]] RelayContact currentContact() const;

    PeerHub &hub;
    TimerService &timers;
    Hooks hooks;
    std::vector<VmIncarnation> preferences;
    std::map<VmIncarnation, Relay> relays; ///< subscribed to
    /** The prefixes whose contents each relay has sent while its link is up. A relay sends them
       once for each subscription, which may outlast the interest of this VM. */
    std::map<VmIncarnation, std::set<QByteArray>> knownPrefixes;
    RelayContact contact; ///< as last reported to the hook
    bool isSelfRelay = false;
    /** Since when the store has not answered this VM itself; nothing while it does. */
    std::optional<TimerService::SteadyTime> storeLostSince;
    TimerSubscription checkTimer;
};

} // namespace lacewingmux
