#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/client/FleetQuota.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against requests of a team over its limit that are held although they can't be admitted:
// the load of a day on which one team sends many times its rate, so that its running programs take
// every token and none is left for new ones.

namespace {

VmDescriptor vm(const char *name, std::uint64_t disk)
{
    VmDescriptor descriptor;
    descriptor.incarnation = {QLatin1String(name), QStringLiteral("zone"), disk};
    descriptor.address = QLatin1String(name);
    return descriptor;
}

void run(ManualTimerService &timers, milliseconds duration)
{
    for (milliseconds passed{0}; passed < duration; passed += milliseconds(1)) {
        timers.advance(milliseconds(1));
        timers.runPosted();
    }
}

/** An entry VM's quota beside a holder that has no tokens. */
struct Fixture
{
    Fixture()
        : network(this->timers)
    {
        this->network.setDeliveryDelay(milliseconds(1));
        const VmDescriptor holder = vm("holder", 2);
        this->hub = this->network.makeHub(vm("entry", 1).incarnation);
        this->holderHub = this->network.makeHub(holder.incarnation);
        this->holderHub->setHandler(FrameKind::GrantTokens, [this](const auto &requester,
                                                                   const PeerFrame &frame) {
            const auto message = RecordsCodec::decodeGrant(frame.payload);
            GrantTokensReplyMessage reply;
            reply.grants.push_back({message->demands.front().team, 0, this->retryAfter});
            this->holderHub->send(requester, {FrameKind::GrantTokensReply, 1, frame.correlation,
                                              RecordsCodec::encodeGrantReply(reply)});
        });
        this->hub->setPeers({holder});
        run(this->timers, milliseconds(300));
        this->quota = std::make_unique<FleetQuota>(*this->hub, this->timers, [](const auto &) {});
        RecordsView view;
        view.number = 1;
        view.members.push_back({holder, MemberState::Synced});
        this->quota->setView(view);
        this->team.name = "team";
        this->team.requestsPerSecond = 60;
        this->team.burst = 60;
    }

    /** Returns the time until a request with the reserve was refused, and how long to wait then. */
    std::pair<milliseconds, milliseconds> refusalOf(double reserve)
    {
        std::optional<QuotaDecision> decision;
        this->quota->take({this->team, reserve},
                          [&decision](const QuotaDecision &result) { decision = result; });
        milliseconds passed{0};
        for (; !decision && passed < milliseconds(3000); passed += milliseconds(1))
            run(this->timers, milliseconds(1));
        cr_assert(decision.has_value());
        cr_assert_not(decision->admitted);
        return {passed, decision->retryAfter};
    }

    ManualTimerService timers;
    InMemoryPeerNetwork network;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<PeerHub> holderHub;
    std::unique_ptr<FleetQuota> quota;
    GatewayTeam team;
    milliseconds retryAfter{60};
};

} // namespace

Test(team_at_its_limit, a_new_program_is_refused_when_its_wait_would_be_too_long)
{
    Fixture fixture;
    const auto [held, retryAfter] = fixture.refusalOf(0.37);
    cr_assert_leq(held.count(), 250);
    cr_assert_geq(retryAfter.count(), 50);
}

Test(team_at_its_limit, a_running_program_waits_longer_but_not_in_vain)
{
    Fixture fixture;
    const auto [held, retryAfter] = fixture.refusalOf(0);
    cr_assert_geq(held.count(), 600);
    cr_assert_leq(held.count(), 900);
}

Test(team_at_its_limit, is_refused_at_once_when_no_token_comes_in_time)
{
    Fixture fixture;
    fixture.retryAfter = milliseconds(2000);
    const auto [held, retryAfter] = fixture.refusalOf(0);
    cr_assert_leq(held.count(), 20);
    cr_assert_geq(retryAfter.count(), 1900);
}
