#include "lacewingmux_relay/links/RelayClient.h"
#include "lacewingmux_relay/links/RelayServer.h"

#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_relay/messages/RelayCodec.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

VmIncarnation vm(const QString &name, const QString &zone)
{
    return {name, zone, 1};
}

VmDescriptor descriptor(const VmIncarnation &incarnation)
{
    VmDescriptor result;
    result.incarnation = incarnation;
    result.address = incarnation.vm;
    result.trafficPort = 1;
    return result;
}

/** Relays named r1, r2, ..., the first half in one zone and the others in a second one, and a
    subscriber in the first zone. */
class RelayFleet
{
public:
    struct Relay
    {
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<RelayServer> server;
        std::set<QByteArray> prefixes{"op/"}; ///< that it sends
        bool demanded = false;
        bool storeReachable = true;
        bool reportsContact = true; ///< else it says nothing while its store is away
    };

    explicit RelayFleet(int relayCount = 4)
        : network(this->timers)
    {
        this->network.setDeliveryDelay(milliseconds(1));
        this->network.setDetectionDelay(milliseconds(900));
        for (int number = 1; number <= relayCount; ++number)
            this->members.push_back(vm(QStringLiteral("r%1").arg(number),
                                       number * 2 <= relayCount ? "near" : "far"));
        for (const VmIncarnation &member : this->members)
            this->startRelay(member);
        this->hub = this->network.makeHub(vm("e1", "near"));
        std::vector<VmDescriptor> peers;
        for (const VmIncarnation &member : this->members)
            peers.push_back(descriptor(member));
        this->hub->setPeers(peers);
        this->client = std::make_unique<RelayClient>(
                *this->hub, this->timers,
                RelayClient::Hooks{
                        [this](const RelayUpdate &update) { this->updates.push_back(update); },
                        [this](const RelayContact &contact) {
                            this->state = contact.state;
                            this->storeReachableSince = contact.storeReachableSince;
                            this->servedPrefixes = contact.servedPrefixes;
                        },
                        [](bool) {}});
        this->client->setCandidates(this->members);
    }

    void startRelay(const VmIncarnation &member)
    {
        Relay &relay = this->relays[member.vm];
        relay.hub = this->network.makeHub(member);
        relay.server = std::make_unique<RelayServer>(
                *relay.hub, this->timers,
                RelayServer::Hooks{
                        [&relay](const VmIncarnation &subscriber) {
                            std::vector<QByteArray> contents;
                            for (const QByteArray &prefix : relay.prefixes)
                                contents.push_back(RelayCodec::encodeUpdate({prefix, 7, true, {}}));
                            relay.server->sendContents(subscriber, contents);
                        },
                        [&relay](bool demanded) { relay.demanded = demanded; }});
    }

    void run(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds(1)) {
            for (auto &[name, relay] : this->relays) {
                // A relay whose store is away keeps the time of its last contact.
                if (relay.server && relay.storeReachable)
                    relay.server->setContact(true, this->timers.now());
                else if (relay.server && relay.reportsContact)
                    relay.server->setContact(false, this->timers.now());
            }
            this->timers.advance(milliseconds(1));
            this->timers.runPosted();
        }
    }

    [[nodiscard]] std::set<QString> demandedRelays() const
    {
        std::set<QString> demanded;
        for (const auto &[name, relay] : this->relays) {
            if (relay.demanded)
                demanded.insert(name);
        }
        return demanded;
    }

    void stop(const QString &name)
    {
        this->relays[name].demanded = false;
        this->relays[name].server.reset();
        this->relays[name].hub.reset();
    }

    ManualTimerService timers;
    InMemoryPeerNetwork network;
    std::vector<VmIncarnation> members;
    std::map<QString, Relay> relays;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<RelayClient> client;
    RelayState state = RelayState::NotServed;
    TimerService::SteadyTime storeReachableSince;
    std::set<QByteArray> servedPrefixes;
    std::vector<RelayUpdate> updates;
};

} // namespace

Test(relay_links, a_subscriber_is_served_by_one_relay_of_its_zone_and_one_of_another)
{
    RelayFleet fleet;
    fleet.run(milliseconds(1000));
    cr_assert(fleet.state == RelayState::Served);
    const std::set<QString> demanded = fleet.demandedRelays();
    cr_assert_eq(demanded.size(), 2);
    cr_assert(demanded.contains("r1") != demanded.contains("r2"));
    cr_assert(demanded.contains("r3") != demanded.contains("r4"));
    cr_assert_eq(fleet.updates.size(), 2);
}

Test(relay_links, another_relay_takes_over_without_a_gap_when_one_stops)
{
    RelayFleet fleet;
    fleet.run(milliseconds(1000));
    const QString near = fleet.demandedRelays().contains("r1") ? "r1" : "r2";
    fleet.stop(near);
    for (int step = 0; step < 40; ++step) {
        fleet.run(milliseconds(100));
        cr_assert(fleet.state == RelayState::Served);
    }
    cr_assert(fleet.demandedRelays().contains(near == "r1" ? "r2" : "r1"));
}

// A silent relay must not delay what the other one sends.
Test(relay_links, a_relay_that_is_silent_for_a_moment_leaves_no_gap)
{
    for (const bool nearIsSilent : {true, false}) {
        RelayFleet fleet;
        fleet.run(milliseconds(1000));
        const QString near = fleet.demandedRelays().contains("r1") ? "r1" : "r2";
        const QString far = fleet.demandedRelays().contains("r3") ? "r3" : "r4";
        fleet.network.pause(nearIsSilent ? near : far);
        for (int step = 0; step < 13; ++step) {
            const std::size_t before = fleet.updates.size();
            fleet.relays[nearIsSilent ? far : near].server->broadcast(
                    RelayCodec::encodeUpdate({"op/", 8 + step, false, {}}));
            fleet.run(milliseconds(100));
            cr_assert(fleet.state == RelayState::Served);
            cr_assert_gt(fleet.updates.size(), before, "step %d", step);
        }
        fleet.network.resume(nearIsSilent ? near : far);
        fleet.run(milliseconds(4000));
        cr_assert(fleet.state == RelayState::Served);
        cr_assert_eq(fleet.demandedRelays().size(), 2, "the usual ones serve again");
    }
}

// Relays of an earlier build send fewer prefixes.
Test(relay_links, a_subscriber_learns_which_prefixes_are_served)
{
    RelayFleet fleet;
    fleet.relays["r3"].prefixes.insert("new/");
    fleet.relays["r4"].prefixes.insert("new/");
    fleet.run(milliseconds(1000));
    cr_assert(fleet.servedPrefixes == std::set<QByteArray>({"new/", "op/"}));
    fleet.stop("r3");
    fleet.stop("r4");
    fleet.run(milliseconds(2000));
    cr_assert(fleet.state == RelayState::Served);
    cr_assert(fleet.servedPrefixes == std::set<QByteArray>{"op/"});
}

// A relay sends its contents once for each subscription, which outlasts the end of the requests. A
// subscriber that returned meanwhile took such a relay for one of an earlier build.
Test(relay_links, a_subscriber_remembers_which_prefixes_a_relay_sends_while_their_link_is_up)
{
    RelayFleet fleet;
    const std::vector<VmIncarnation> near{fleet.members[0], fleet.members[1]};
    fleet.relays["r3"].prefixes.insert("new/");
    fleet.relays["r4"].prefixes.insert("new/");
    fleet.run(milliseconds(1000));
    fleet.client->setCandidates(near);
    fleet.run(milliseconds(500));
    cr_assert(fleet.servedPrefixes == std::set<QByteArray>{"op/"});
    fleet.client->setCandidates(fleet.members);
    fleet.run(milliseconds(500));
    for (const char *name : {"r3", "r4"})
        fleet.relays[name].server->broadcast(RelayCodec::encodeUpdate({"op/", 8, false, {}}));
    fleet.run(milliseconds(500));
    cr_assert(fleet.servedPrefixes == std::set<QByteArray>({"new/", "op/"}));
}

Test(relay_links, relays_that_lost_the_store_do_not_serve)
{
    RelayFleet fleet;
    fleet.run(milliseconds(1000));
    for (auto &[name, relay] : fleet.relays)
        relay.storeReachable = false;
    fleet.run(milliseconds(20));
    cr_assert(fleet.state == RelayState::StoreLost);
    fleet.relays["r4"].storeReachable = true;
    fleet.relays["r3"].storeReachable = true;
    fleet.run(milliseconds(1500));
    cr_assert(fleet.state == RelayState::Served);
}

// If the store rejects a third of the VMs, all relays that a subscriber tries first may be among
// them; it tried only one further relay.
Test(relay_links, the_relays_that_the_store_serves_serve_all_if_it_rejects_a_third)
{
    RelayFleet fleet(12);
    fleet.run(milliseconds(1000));
    const auto ranked = RelayClient::ranked(fleet.members, "near");
    for (std::size_t rank = 0; rank < 4; ++rank)
        fleet.relays[ranked[rank].vm].storeReachable = false;
    fleet.run(milliseconds(2000));
    cr_assert(fleet.state == RelayState::Served);
    for (std::size_t rank = 0; rank < 4; ++rank)
        fleet.relays[ranked[rank].vm].storeReachable = true;
    fleet.run(milliseconds(5000));
    cr_assert_eq(fleet.demandedRelays().size(), 2, "the usual ones serve again");
}

// With every VM subscribed to every relay, an outage would make all relays watch the store.
Test(relay_links, an_outage_makes_subscribers_try_no_more_than_half_of_the_relays)
{
    RelayFleet fleet(12);
    fleet.run(milliseconds(1000));
    for (auto &[name, relay] : fleet.relays)
        relay.storeReachable = false;
    fleet.run(milliseconds(10000));
    cr_assert(fleet.state == RelayState::StoreLost);
    cr_assert_leq(fleet.demandedRelays().size(), 6);
}

// A preferred relay that the store rejects learned nothing, although other relays were served.
Test(relay_links, a_preferred_relay_uses_other_relays_while_it_has_lost_the_store)
{
    RelayFleet fleet;
    RelayState state = RelayState::NotServed;
    const VmIncarnation first = RelayClient::ranked(fleet.members, "near").front();
    PeerHub &hub = *fleet.relays[first.vm].hub;
    std::vector<VmDescriptor> others;
    for (const VmIncarnation &member : fleet.members) {
        if (member != first)
            others.push_back(descriptor(member));
    }
    hub.setPeers(others);
    RelayClient client(
            hub, fleet.timers,
            RelayClient::Hooks{[](const RelayUpdate &) {},
                               [&state](const RelayContact &contact) { state = contact.state; },
                               [](bool) {}});
    client.setCandidates(fleet.members);
    fleet.run(milliseconds(1000));
    cr_assert(state == RelayState::NotServed, "it serves itself");
    client.setStoreReachable(false);
    fleet.run(milliseconds(1000));
    cr_assert(state == RelayState::Served);
    client.setStoreReachable(true);
    fleet.run(milliseconds(1000));
    cr_assert(state == RelayState::NotServed, "it serves itself again");
}

Test(relay_links, a_subscriber_that_reaches_no_relay_is_not_served)
{
    RelayFleet fleet;
    fleet.run(milliseconds(1000));
    for (const VmIncarnation &member : fleet.members)
        fleet.network.cut("e1", member.vm);
    fleet.run(milliseconds(2000));
    cr_assert(fleet.state == RelayState::NotServed);
    fleet.run(milliseconds(3000));
    cr_assert(fleet.demandedRelays().empty(), "its subscriptions expire");
    fleet.network.healAll();
    fleet.run(milliseconds(1500));
    cr_assert(fleet.state == RelayState::Served);
}

Test(relay_links, a_subscriber_learns_for_how_long_a_relay_has_reached_the_store)
{
    RelayFleet fleet;
    const auto start = fleet.timers.now();
    fleet.run(milliseconds(5000));
    for (const VmIncarnation &member : fleet.members)
        fleet.network.cut("e1", member.vm);
    fleet.run(milliseconds(8000));
    fleet.network.healAll();
    fleet.run(milliseconds(1500));
    cr_assert(fleet.state == RelayState::Served);
    cr_assert(fleet.storeReachableSince <= start + milliseconds(50), "the relays never lost it");
}

Test(relay_codec, bounds_the_time_in_a_damaged_status)
{
    for (const std::int64_t value : {std::int64_t{-1}, INT64_MIN, INT64_MAX}) {
        const RelayStatus damaged{true, milliseconds(0), milliseconds(value)};
        const auto decoded = RelayCodec::decodeStatus(RelayCodec::encodeStatus(damaged));
        cr_assert(decoded.has_value());
        cr_assert_geq(decoded->reachableFor.count(), 0);
        cr_assert_leq(decoded->reachableFor / std::chrono::hours(1), 1);
    }
}

Test(relay_links, an_outage_of_the_store_restarts_the_time)
{
    RelayFleet fleet;
    fleet.run(milliseconds(5000));
    for (auto &[name, relay] : fleet.relays)
        relay.storeReachable = false;
    fleet.run(milliseconds(4000));
    const auto back = fleet.timers.now();
    for (auto &[name, relay] : fleet.relays)
        relay.storeReachable = true;
    fleet.run(milliseconds(1500));
    cr_assert(fleet.state == RelayState::Served);
    cr_assert(fleet.storeReachableSince >= back);
}

// A relay that watched nothing for a while, or stood still, cannot tell what happened meanwhile.
Test(relay_links, a_long_time_without_an_answer_restarts_the_time)
{
    RelayFleet fleet;
    fleet.run(milliseconds(5000));
    for (auto &[name, relay] : fleet.relays) {
        relay.storeReachable = false;
        relay.reportsContact = false;
    }
    fleet.run(milliseconds(4000));
    const auto back = fleet.timers.now();
    for (auto &[name, relay] : fleet.relays)
        relay.storeReachable = true;
    fleet.run(milliseconds(1500));
    cr_assert(fleet.state == RelayState::Served);
    cr_assert(fleet.storeReachableSince >= back);
}

Test(relay_links, all_zones_together_use_one_relay_of_each_zone)
{
    std::vector<VmIncarnation> candidates;
    candidates.reserve(24);
    for (int number = 0; number < 24; ++number)
        candidates.push_back(
                vm(QStringLiteral("r%1").arg(number), QStringLiteral("zone-%1").arg(number % 5)));
    std::set<VmIncarnation> used;
    for (int zone = 0; zone < 5; ++zone) {
        const QString name = QStringLiteral("zone-%1").arg(zone);
        const std::vector<VmIncarnation> ranked = RelayClient::ranked(candidates, name);
        cr_assert_eq(ranked.size(), candidates.size());
        cr_assert(ranked[0].zone == name);
        cr_assert(ranked[1].zone != name);
        used.insert(ranked[0]);
        used.insert(ranked[1]);
    }
    cr_assert_eq(used.size(), 5);
}
