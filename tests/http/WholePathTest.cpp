#include "http/ForwardFixture.h"
#include "http/FrontFixture.h"
#include "program/OwnerTestFixture.h"

#include <QHostAddress>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

/** A front with a server on one VM of a fleet whose only owner is the bench's. */
class FrontVm
{
public:
    FrontVm(OwnerTestFixture &bench, InMemoryPeerNetwork &network, const VmIncarnation &self,
            OwnerService &localOwner)
        : hub(network.makeHub(self))
        , receiver(*hub, localOwner)
        , forwarder(bench.timers, metrics, *hub, localOwner, sent, settings())
        , front(bench.timers, metrics, gate, forwarder, sent,
                {[](const QByteArray &key) {
                     return AuthenticationResult{key == validKey, ErrorKind::Unauthenticated,
                                                 QString::fromLatin1(OwnerTestFixture::team),
                                                 QStringLiteral("key-1")};
                 },
                 {},
                 {},
                 {}})
        , server(bench.timers, metrics, {},
                 [this](CallerRequest request, const std::shared_ptr<CallerAnswer> &answer) {
                     this->front.handle(std::move(request), answer);
                 })
        , port(server.listen(QHostAddress::LocalHost, 0))
    {
        this->front.adoptConfiguration(bench.configuration);
    }

    [[nodiscard]] static ForwarderSettings settings()
    {
        ForwarderSettings made;
        made.configuredZones = {QStringLiteral("zone-a")};
        return made;
    }

    IgnoringMetricsRecorder metrics;
    SentRequests sent;
    FakeGate gate;
    std::unique_ptr<PeerHub> hub;
    ForwardReceiver receiver;
    OwnerForwarder forwarder;
    RequestFront front;
    CallerServer server;
    std::uint16_t port;
};

/** The owner's VM with a front of its own, and a front in another zone. */
class WholePath
{
public:
    WholePath()
        : atOwner((ensureApplication(), bench), network, ownerVm, *bench.owner)
        , elsewhere(bench, network, {QStringLiteral("vm-2"), QStringLiteral("zone-b"), 1}, unused)
    {
        const auto views = viewsOf({this->ownerVm}, 1);
        this->atOwner.forwarder.adoptViews(views);
        this->elsewhere.forwarder.adoptViews(views);
        this->elsewhere.hub->setPeers(views->allMembers());
        this->bench.timers.advance(10ms);
    }

    /** Turns sockets and manual time together until the condition holds. */
    [[nodiscard]] bool until(const std::function<bool()> &condition)
    {
        return waitUntil([this, &condition] {
            this->bench.timers.advance(1ms);
            return condition();
        });
    }

    [[nodiscard]] bool untilDispatched(std::size_t count)
    {
        return this->until([this, count] { return this->bench.dispatcher.sent.size() >= count; });
    }

    [[nodiscard]] bool untilReceived(RawCaller &caller, const QByteArray &text)
    {
        return this->until([&caller, &text] { return caller.received().contains(text); });
    }

    OwnerTestFixture bench;
    VmIncarnation ownerVm{QStringLiteral("vm-1"), QStringLiteral("zone-a"), 1};
    InMemoryPeerNetwork network{bench.timers};
    FakeOwner unused;
    FrontVm atOwner;
    FrontVm elsewhere;
};

QByteArray assistantCall(const QByteArray &text)
{
    return R"({"route":"assistant","messages":[{"role":"user","content":")" + text + R"("}]})";
}

} // namespace

Test(WholePath, runsAProgramThroughTwoFronts)
{
    WholePath path;
    RawCaller near(path.atOwner.port);
    RawCaller far(path.elsewhere.port);
    near.send(withKey("POST", "/v1/programs"));
    cr_assert(path.untilReceived(near, "\"program\":\""));
    const QByteArray id = near.received().split('"').at(3);

    // The third call waits for the second, although it came first and by another front.
    const QByteArray calls = "/v1/programs/" + id + "/calls/";
    far.send(withKey("POST", calls + "1", assistantCall("one")));
    cr_assert(path.untilDispatched(1));
    path.bench.dispatcher.answer(path.bench.latest(), "<first>");
    cr_assert(path.untilReceived(far, "<first>"));
    near.send(withKey("POST", calls + "3", assistantCall("three")));
    far.send(withKey("POST", calls + "2", assistantCall("two")));
    cr_assert(path.untilDispatched(2));
    cr_assert_eq(path.bench.dispatcher.sent[1].request.callNumber, 2U);
    path.bench.dispatcher.answer(path.bench.latest(), "<second>");
    cr_assert(path.untilDispatched(3));
    path.bench.dispatcher.answer(path.bench.latest(), "<third>");
    cr_assert(path.untilReceived(near, "<third>"));

    // A recorded call is answered again, whole, and not run.
    far.send(withKey("GET", calls + "3") + withKey("POST", calls + "1", assistantCall("one")));
    cr_assert(
            path.until([&far] { return far.count("<third>") == 1 && far.count("<first>") == 2; }));
    cr_assert_eq(path.bench.dispatcher.sent.size(), 3U);
    far.send(withKey("DELETE", "/v1/programs/" + id));
    cr_assert(path.untilReceived(far, "\"ended\":true"));
    for (const auto &sent : path.bench.dispatcher.sent)
        cr_assert_not(sent.request.body.contains(validKey));
}

Test(WholePath, runsAKeyedRequestOnceForRetriesThroughOtherFronts)
{
    WholePath path;
    const QByteArray booking =
            withKey("POST", "/v1/services/booking/visits", "{}", "Idempotency-Key: v1\r\n");
    RawCaller first(path.elsewhere.port);
    first.send(booking);
    cr_assert(path.untilDispatched(1));
    first.close();
    RawCaller second(path.atOwner.port);
    second.send(booking);
    cr_assert(path.until([&path] { return path.atOwner.forwarder.requestCount() == 1; }));
    // The link breaks while the request runs; a third try joins as well.
    path.network.breakLink(QStringLiteral("vm-1"), QStringLiteral("vm-2"));
    RawCaller third(path.elsewhere.port);
    third.send(booking);
    cr_assert(path.until([&path] { return path.atOwner.receiver.requestCount() == 1; }));
    path.bench.dispatcher.answer(path.bench.latest(), "<booked>");
    cr_assert(path.untilReceived(second, "<booked>"));
    cr_assert(path.untilReceived(third, "<booked>"));
    cr_assert_eq(path.bench.dispatcher.sent.size(), 1U);
}
