#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/client/FleetQuota.h"
#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/messages/RecordsCodec.h"
#include "lacewingmux_records/server/RecordsSync.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// A records VM that answers late, as right after a loss of power, when it has a log to read and
// all others ask it at once on a small processor.

namespace {

VmDescriptor vm(const char *name, std::uint64_t disk)
{
    VmDescriptor descriptor;
    descriptor.incarnation = {QLatin1String(name), QStringLiteral("zone"), disk};
    descriptor.address = QLatin1String(name);
    return descriptor;
}

RecordsView viewOf(const std::vector<VmDescriptor> &vms)
{
    RecordsView view;
    view.number = 1;
    for (const VmDescriptor &descriptor : vms)
        view.members.push_back({descriptor, MemberState::Synced});
    return view;
}

void run(ManualTimerService &timers, milliseconds duration)
{
    for (milliseconds passed{0}; passed < duration; passed += milliseconds(1)) {
        timers.advance(milliseconds(1));
        timers.runPosted();
    }
}

} // namespace

Test(slow_member, is_asked_for_one_page_of_names_at_a_time)
{
    constexpr int pages = 10;
    ManualTimerService timers;
    InMemoryPeerNetwork network(timers);
    network.setDeliveryDelay(milliseconds(300)); // one way, above the pause between questions
    const VmDescriptor self = vm("asker", 1);
    const VmDescriptor peer = vm("slow", 2);
    const auto hub = network.makeHub(self.incarnation);
    const auto peerHub = network.makeHub(peer.incarnation);
    hub->setPeers({peer});

    int questions = 0;
    peerHub->setHandler(FrameKind::PullKeys, [&](const auto &asker, const PeerFrame &frame) {
        ++questions;
        const auto question = RecordsCodec::decodePull(frame.payload);
        PullKeysReplyMessage reply;
        reply.next = question->after + 1;
        reply.atEnd = reply.next >= pages;
        reply.names.push_back(
                {RecordKind::Settlement, QByteArray::number(quint64(reply.next)), "program"});
        peerHub->send(asker, {FrameKind::PullKeysReply, 1, frame.correlation,
                              RecordsCodec::encodePullReply(reply)});
    });
    const RecordIndex index;
    int answers = 0;
    RecordsSync sync(
            *hub, index, timers, [](const Record &, const std::function<void()> &) {},
            [] { return std::vector<std::uint64_t>(); },
            [&answers](const VmIncarnation &, TimerService::SteadyTime) { ++answers; }, [] {});
    sync.setView(viewOf({self, peer}));
    run(timers, milliseconds(600 * pages));
    // One a page, and one more in each of the 600 ms, because the answer was late.
    cr_assert_leq(questions, 2 * pages + 2, "%d", questions);
    cr_assert_geq(answers, pages, "%d", answers);
}

Test(slow_member, has_its_late_tokens_used)
{
    ManualTimerService timers;
    InMemoryPeerNetwork network(timers);
    network.setDeliveryDelay(milliseconds(110)); // one way: an answer takes longer than is waited
    const VmDescriptor self = vm("entry", 1);
    const VmDescriptor peer = vm("slow", 2);
    const auto hub = network.makeHub(self.incarnation);
    const auto peerHub = network.makeHub(peer.incarnation);
    hub->setPeers({peer});
    run(timers, milliseconds(300));
    peerHub->setHandler(FrameKind::GrantTokens, [&](const auto &asker, const PeerFrame &frame) {
        const auto question = RecordsCodec::decodeGrant(frame.payload);
        GrantTokensReplyMessage reply;
        reply.grants.push_back({question->demands.front().team, question->demands.front().wanted,
                                milliseconds(5)});
        peerHub->send(asker, {FrameKind::GrantTokensReply, 1, frame.correlation,
                              RecordsCodec::encodeGrantReply(reply)});
    });
    FleetQuota quota(*hub, timers, [](const auto &) {});
    quota.setView(viewOf({peer}));
    GatewayTeam team;
    team.name = "team";
    team.requestsPerSecond = 60;
    team.burst = 90;
    int admitted = 0;
    for (int request = 0; request < 10; ++request) {
        quota.take({team, 0}, [&admitted](const QuotaDecision &answer) {
            admitted += answer.admitted ? 1 : 0;
        });
        run(timers, milliseconds(50));
    }
    run(timers, milliseconds(500));
    cr_assert_eq(admitted, 10, "%d", admitted);
}
