#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

VmDescriptor descriptor(const char *vm)
{
    VmDescriptor result;
    result.incarnation = {QString::fromLatin1(vm), QStringLiteral("zone-a"), 1};
    return result;
}

/** Two linked hubs and what the second has seen. */
struct Fixture
{
    Fixture()
    {
        this->first = this->network.makeHub(this->a.incarnation);
        this->second = this->network.makeHub(this->b.incarnation);
        this->second->setHandler(FrameKind::Heartbeat, [this](const auto &, const auto &frame) {
            this->received.push_back(frame.correlation);
        });
        this->second->addLinkHandler(
                [this](const auto &, bool up) { this->linkEvents.push_back(up); });
        this->first->setPeers({this->b});
        this->timers.runPosted();
    }

    bool send(std::uint64_t number)
    {
        return this->first->send(this->b.incarnation, {FrameKind::Heartbeat, 0, number, {}});
    }

    VmDescriptor a = descriptor("vm-1");
    VmDescriptor b = descriptor("vm-2");
    ManualTimerService timers;
    InMemoryPeerNetwork network{this->timers};
    std::unique_ptr<PeerHub> first;
    std::unique_ptr<PeerHub> second;
    std::vector<std::uint64_t> received;
    std::vector<bool> linkEvents;
};

} // namespace

Test(InMemoryPeerNetwork, deliversInOrderAfterTheDelayEvenWhenTheDelayShrinks)
{
    Fixture fixture;
    fixture.network.setDeliveryDelay(10ms);
    cr_assert(fixture.send(1));
    fixture.network.setDeliveryDelay(0ms);
    cr_assert(fixture.send(2));
    fixture.timers.advance(9ms);
    cr_assert(fixture.received.empty());
    fixture.timers.advance(1ms);
    cr_assert(fixture.received == std::vector<std::uint64_t>({1, 2}));
}

Test(InMemoryPeerNetwork, cutLosesFramesInFlightAndTellsBothEnds)
{
    Fixture fixture;
    fixture.network.setDeliveryDelay(10ms);
    fixture.send(1);
    fixture.network.cut(fixture.a.incarnation.vm, fixture.b.incarnation.vm);
    fixture.timers.advance(50ms);
    cr_assert(fixture.received.empty());
    cr_assert(fixture.linkEvents == std::vector<bool>({true, false}));
    cr_assert_not(fixture.send(2));

    fixture.network.healAll();
    fixture.timers.advance(50ms);
    cr_assert(fixture.send(3));
    fixture.timers.advance(50ms);
    cr_assert(fixture.received == std::vector<std::uint64_t>({3}));
}

Test(InMemoryPeerNetwork, cutHealedBeforeItIsNoticedLosesNothing)
{
    Fixture fixture;
    fixture.network.setDetectionDelay(100ms);
    fixture.network.cut(fixture.a.incarnation.vm, fixture.b.incarnation.vm);
    cr_assert(fixture.send(1));
    fixture.timers.advance(50ms);
    cr_assert(fixture.received.empty());
    fixture.network.healAll();
    fixture.timers.advance(100ms);
    cr_assert(fixture.received == std::vector<std::uint64_t>({1}));
    cr_assert(fixture.linkEvents == std::vector<bool>({true}));
}

Test(InMemoryPeerNetwork, oneWayCutLetsTheOtherDirectionThroughUntilNoticed)
{
    Fixture fixture;
    fixture.network.setDetectionDelay(100ms);
    fixture.network.cutOneWay(fixture.b.incarnation.vm, fixture.a.incarnation.vm);
    fixture.send(1);
    fixture.timers.advance(50ms);
    cr_assert(fixture.received == std::vector<std::uint64_t>({1}));
    fixture.timers.advance(100ms);
    cr_assert(fixture.linkEvents == std::vector<bool>({true, false}));
    cr_assert_not(fixture.first->isConnected(fixture.b.incarnation));
}

Test(InMemoryPeerNetwork, resumedHubHandlesWhatHadReachedItBeforeItSeesTheBreak)
{
    Fixture fixture;
    fixture.network.setDetectionDelay(100ms);
    fixture.network.pause(fixture.b.incarnation.vm);
    fixture.send(1);
    fixture.timers.advance(200ms);
    cr_assert(fixture.received.empty());
    cr_assert_not(fixture.send(2), "the peer of a stopped process gives up its link");

    fixture.network.resume(fixture.b.incarnation.vm);
    fixture.timers.advance(200ms);
    cr_assert(fixture.received == std::vector<std::uint64_t>({1}));
    cr_assert(fixture.linkEvents == std::vector<bool>({true, false, true}));
}

Test(InMemoryPeerNetwork, killedHubIsNoticedAndItsNextIncarnationIsAnotherPeer)
{
    Fixture fixture;
    fixture.first.reset();
    fixture.timers.runPosted();
    cr_assert(fixture.linkEvents == std::vector<bool>({true, false}));

    VmDescriptor restarted = fixture.a;
    restarted.incarnation.incarnation = 2;
    const auto hub = fixture.network.makeHub(restarted.incarnation);
    hub->setPeers({fixture.b});
    fixture.timers.runPosted();
    cr_assert(fixture.second->isConnected(restarted.incarnation));
    cr_assert_not(fixture.second->isConnected(fixture.a.incarnation));
}

Test(InMemoryPeerNetwork, brokenLinkFormsAnewAfterTheReconnectDelay)
{
    Fixture fixture;
    fixture.network.setReconnectDelay(30ms);
    fixture.network.breakLink(fixture.a.incarnation.vm, fixture.b.incarnation.vm);
    fixture.timers.advance(29ms);
    cr_assert_not(fixture.first->isConnected(fixture.b.incarnation));
    fixture.timers.advance(1ms);
    cr_assert(fixture.first->isConnected(fixture.b.incarnation));
}
