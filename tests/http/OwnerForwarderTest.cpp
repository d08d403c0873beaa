#include "http/FakeOwner.h"
#include "http/ForwardFixture.h"
#include "lacewingmux_http/forward/ForwardCodec.h"
#include "lacewingmux_http/forward/RequestHome.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

/** A front in zone "b" and two VMs in zone "a", each with a fake owner. */
class SmallFleet
{
public:
    SmallFleet()
    {
        this->adopt({this->first.incarnation, this->second.incarnation, this->front.incarnation});
        std::vector<VmDescriptor> peers;
        for (const VmIncarnation &vm : {this->first.incarnation, this->second.incarnation})
            peers.push_back({vm, {}, 0, 0, false});
        this->front.hub->setPeers(peers);
        this->timers.advance(100ms);
    }

    void adopt(const std::vector<VmIncarnation> &vms)
    {
        this->views = viewsOf(vms, ++this->epoch);
        for (ForwardingVm *vm : {&this->first, &this->second, &this->front})
            vm->forwarder.adoptViews(this->views);
    }

    /** Returns the fake owner of the call under the latest views. */
    [[nodiscard]] FakeOwner &ownerOf(const OwnerRequest &request)
    {
        return *this->views->ownerOf(*homeOf(request, {})) == this->first.incarnation
                       ? this->firstOwner
                       : this->secondOwner;
    }
    [[nodiscard]] ForwardingVm &vmOf(const OwnerRequest &request)
    {
        return &this->ownerOf(request) == &this->firstOwner ? this->first : this->second;
    }
    [[nodiscard]] ForwardingVm &otherVm(const OwnerRequest &request)
    {
        return &this->ownerOf(request) == &this->firstOwner ? this->second : this->first;
    }

    void breakLinkTo(const ForwardingVm &vm)
    {
        this->network.breakLink(this->front.incarnation.vm, vm.incarnation.vm);
    }

    ManualTimerService timers;
    InMemoryPeerNetwork network{timers};
    FakeOwner firstOwner;
    FakeOwner secondOwner;
    FakeOwner frontOwner;
    std::uint64_t epoch = 0;
    ForwardingVm first{network, timers, incarnationOf(QStringLiteral("a1"), QStringLiteral("a")),
                       firstOwner};
    ForwardingVm second{network, timers, incarnationOf(QStringLiteral("a2"), QStringLiteral("a")),
                        secondOwner};
    ForwardingVm front{network, timers, incarnationOf(QStringLiteral("b1"), QStringLiteral("b")),
                       frontOwner};
    std::shared_ptr<const FleetViews> views;
};

} // namespace

Test(OwnerForwarder, bringsARequestToItsOwnerAndTheAnswerBack)
{
    SmallFleet fleet;
    OwnerRequest request = callOf(7, 3);
    request.keyId = QStringLiteral("k");
    request.route = QStringLiteral("r");
    request.body = QByteArray("\0binary\xff", 8);
    request.headers = {{"A", "b"}};
    SeenAnswer seen;
    fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    FakeOwner &owner = fleet.ownerOf(request);
    cr_assert_eq(owner.asked.size(), 1U);
    const OwnerRequest &asked = owner.asked[0].request;
    cr_assert(asked.programId == request.programId && asked.callNumber == 3);
    cr_assert(asked.body == request.body && asked.headers == request.headers);
    cr_assert(asked.keyId == request.keyId && asked.team == request.team);
    const QByteArray large(1000000, 'x');
    owner.answer(0, large);
    fleet.timers.advance(10ms);
    cr_assert_eq(seen.ends, 1);
    cr_assert(seen.body == large);
    cr_assert_eq(fleet.vmOf(request).receiver.requestCount(), 0U);
    cr_assert_eq(fleet.front.forwarder.requestCount(), 0U);
}

Test(OwnerForwarder, asksTheNewOwnerAgainWhenTheOldOneIsLost)
{
    SmallFleet fleet;
    const OwnerRequest request = callOf(1, 1);
    SeenAnswer seen;
    fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    const ResponseSink oldSink = fleet.ownerOf(request).asked.at(0).sink;
    oldSink.begin(200, {});
    oldSink.chunk("half of the old answer");
    fleet.timers.advance(10ms);

    ForwardingVm &lost = fleet.vmOf(request);
    ForwardingVm &heir = fleet.otherVm(request);
    fleet.network.cut(fleet.front.incarnation.vm, lost.incarnation.vm);
    fleet.timers.advance(500ms);
    cr_assert_eq(seen.outcomes(), 0);
    fleet.adopt({heir.incarnation, fleet.front.incarnation});
    fleet.timers.advance(10ms);
    FakeOwner &newOwner = fleet.ownerOf(request);
    cr_assert_eq(newOwner.asked.size(), 1U);
    newOwner.answer(0, "<new>");
    oldSink.chunk("late");
    oldSink.end();
    fleet.network.healAll();
    fleet.timers.advance(1s);
    cr_assert_eq(seen.outcomes(), 1);
    cr_assert_eq(seen.body, QByteArray("<new>"));
}

Test(OwnerForwarder, neverMixesTwoAnswersInAStream)
{
    SmallFleet fleet;
    const OwnerRequest request = callOf(1, 1, true);
    SeenAnswer seen;
    fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    const ResponseSink sink = fleet.ownerOf(request).asked.at(0).sink;
    sink.begin(200, {});
    sink.chunk("shown");
    fleet.timers.advance(10ms);
    cr_assert_eq(seen.body, QByteArray("shown"));
    fleet.breakLinkTo(fleet.vmOf(request));
    fleet.timers.advance(20s);
    cr_assert_eq(seen.outcomes(), 1);
    cr_assert(seen.error && seen.error->executed() == Executed::Unknown);
    cr_assert_eq(seen.begins, 1);
    cr_assert_eq(seen.body, QByteArray("shown"));
}

Test(OwnerForwarder, asksAgainUnderTheNewerViewWhenItWasNotTheOwner)
{
    SmallFleet fleet;
    const OwnerRequest request = callOf(1, 1);
    SeenAnswer seen;
    fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    fleet.ownerOf(request).asked.at(0).sink.fail(
            LacewingmuxError(ErrorKind::OwnerUnavailable, QStringLiteral("not me")));
    fleet.adopt({fleet.otherVm(request).incarnation, fleet.front.incarnation});
    fleet.timers.advance(1s);
    cr_assert_eq(fleet.ownerOf(request).asked.size(), 1U);
    fleet.ownerOf(request).answer(0, "ok");
    fleet.timers.advance(10ms);
    cr_assert_eq(seen.ends, 1);
}

Test(OwnerForwarder, promisesNotRunOnlyForWhatNoOwnerMayHave)
{
    SmallFleet fleet;
    SeenAnswer refused;
    SeenAnswer lost;
    SeenAnswer repeated;
    const OwnerRequest request = callOf(1, 1);
    fleet.front.forwarder.handle(callOf(1, 2), sinkInto(lost));
    fleet.front.sent.add(callOf(1, 3));
    fleet.timers.advance(10ms);
    for (const auto *vm : {"a1", "a2"})
        fleet.network.cut(QStringLiteral("b1"), QLatin1String(vm));
    fleet.timers.advance(10ms);
    fleet.front.forwarder.handle(request, sinkInto(refused));
    fleet.front.forwarder.handle(callOf(1, 3), sinkInto(repeated));
    // At once, while the request that was sent waits for its zone.
    cr_assert(refused.error && refused.error->kind() == ErrorKind::ZoneUnreachable);
    cr_assert(refused.error->executed() == Executed::No);
    cr_assert(refused.error->retryAfter().count() > 0);
    cr_assert(repeated.error && repeated.error->executed() == Executed::Unknown);
    cr_assert_eq(lost.outcomes(), 0);
    fleet.timers.advance(30s);
    cr_assert(lost.error && lost.error->executed() == Executed::Unknown);
}

Test(OwnerForwarder, tellsTheOwnerThatTheCallerHasGone)
{
    SmallFleet fleet;
    const OwnerRequest request = callOf(1, 1);
    SeenAnswer seen;
    const auto handle = fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    fleet.front.forwarder.callerGone(handle);
    fleet.timers.advance(10ms);
    cr_assert(fleet.ownerOf(request).asked.at(0).callerGone);
    fleet.ownerOf(request).answer(0, "late");
    fleet.timers.advance(10ms);
    cr_assert_eq(seen.outcomes(), 0);
}

Test(OwnerForwarder, ignoresDoubledPiecesAndAsksAgainWhenOneIsMissing)
{
    SmallFleet fleet;
    const OwnerRequest request = callOf(1, 1);
    SeenAnswer seen;
    fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    const auto sendPiece = [&fleet, &request](FrameKind kind, const QByteArray &payload) {
        PeerFrame frame;
        frame.kind = kind;
        frame.correlation = 1;
        frame.payload = payload;
        fleet.vmOf(request).hub->send(fleet.front.incarnation, frame);
    };
    sendPiece(FrameKind::OwnerResponseHead, encode(ForwardedHead{200, {}}));
    sendPiece(FrameKind::OwnerResponseChunk, encode(ForwardedChunk{0, "a"}));
    sendPiece(FrameKind::OwnerResponseChunk, encode(ForwardedChunk{0, "a"}));
    sendPiece(FrameKind::OwnerResponseChunk, encode(ForwardedChunk{2, "c"}));
    sendPiece(FrameKind::OwnerResponseEnd, encode(ForwardedEnd{3}));
    fleet.timers.advance(1s);
    cr_assert_eq(seen.outcomes(), 0);
    cr_assert_eq(fleet.ownerOf(request).asked.size(), 2U);
    fleet.ownerOf(request).answer(1, "abc");
    fleet.timers.advance(10ms);
    cr_assert_eq(seen.ends, 1);
    cr_assert_eq(seen.body, QByteArray("abc"));
}

// Guards against pieces of an attempt that is over, from the same owner, in the next one's answer.
Test(OwnerForwarder, ignoresPiecesOfAnEarlierAttempt)
{
    SmallFleet fleet;
    const OwnerRequest request = callOf(1, 1);
    SeenAnswer seen;
    fleet.front.forwarder.handle(request, sinkInto(seen));
    fleet.timers.advance(10ms);
    const auto sendPiece = [&fleet, &request](std::uint64_t attempt, FrameKind kind,
                                              const QByteArray &payload) {
        PeerFrame frame;
        frame.kind = kind;
        frame.correlation = attempt;
        frame.payload = payload;
        fleet.vmOf(request).hub->send(fleet.front.incarnation, frame);
    };
    sendPiece(1, FrameKind::OwnerResponseHead, encode(ForwardedHead{201, {}}));
    sendPiece(1, FrameKind::OwnerResponseChunk, encode(ForwardedChunk{0, "old"}));
    fleet.timers.advance(10ms);
    fleet.breakLinkTo(fleet.vmOf(request));
    fleet.timers.advance(1s);
    cr_assert_eq(fleet.ownerOf(request).asked.size(), 2U);

    sendPiece(1, FrameKind::OwnerResponseChunk, encode(ForwardedChunk{1, "late"}));
    sendPiece(2, FrameKind::OwnerResponseHead, encode(ForwardedHead{200, {}}));
    sendPiece(2, FrameKind::OwnerResponseChunk, encode(ForwardedChunk{0, "ne"}));
    sendPiece(1, FrameKind::OwnerResponseEnd, encode(ForwardedEnd{2}));
    sendPiece(2, FrameKind::OwnerResponseChunk, encode(ForwardedChunk{1, "w"}));
    sendPiece(2, FrameKind::OwnerResponseEnd, encode(ForwardedEnd{2}));
    sendPiece(2, FrameKind::OwnerResponseEnd, encode(ForwardedEnd{2}));
    fleet.timers.advance(10ms);
    cr_assert_eq(seen.begins, 1);
    cr_assert_eq(seen.outcomes(), 1);
    cr_assert_eq(seen.body, QByteArray("new"));
}

Test(OwnerForwarder, findsTheSameHomeOfAKeyFromEveryZone)
{
    OwnerRequest request;
    request.operation = OwnerOperation::ServiceCall;
    request.team = QStringLiteral("one");
    int inFirst = 0;
    for (int number = 0; number < 300; ++number) {
        request.idempotencyKey = QString::number(number);
        const auto home = homeOf(request, {QStringLiteral("a"), QStringLiteral("b")});
        cr_assert(*home == *homeOf(request, {QStringLiteral("b"), QStringLiteral("a")}));
        inFirst += home->zone() == QStringLiteral("a") ? 1 : 0;
    }
    cr_assert(inFirst > 100 && inFirst < 200);
}
