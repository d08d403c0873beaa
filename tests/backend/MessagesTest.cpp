#include "backend/support/DispatcherFixture.h"
#include "lacewingmux_backend/clients/CompletionAssembler.h"
#include "lacewingmux_backend/dispatch/QuarantineNoticeExchange.h"
#include "lacewingmux_backend/messages/BackendMessages.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"

#include <QJsonDocument>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

Test(BackendMessages, areUnchangedByEncodingAndDecoding)
{
    const std::vector<CrashCoincidence> coincidences{{"digest", QStringLiteral("a/e0#1")},
                                                     {QByteArray("\0x", 2), QStringLiteral("b")}};
    const auto decoded = decodeQuarantineNotice(encodeQuarantineNotice(coincidences));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->size(), 2);
    cr_assert(decoded->at(1).contentDigest == coincidences[1].contentDigest);
    cr_assert(decoded->at(0).crash == coincidences[0].crash);

    const ReplicaLoadEntry entry{QStringLiteral("e0"), {1, 2, 3, 4, QStringLiteral("i")}, 5ms};
    const auto loads = decodeReplicaReport(encodeReplicaReport({entry}));
    cr_assert(loads.has_value());
    cr_assert(loads->at(0).load == entry.load);
    cr_assert_eq(loads->at(0).age.count(), 5);
}

Test(BackendMessages, truncatedPayloadsAreRejected)
{
    const QByteArray whole = encodeQuarantineNotice({{"digest", QStringLiteral("a/e0#1")}});
    for (qsizetype length = 0; length < whole.size() - 8; ++length) {
        cr_assert_not(decodeQuarantineNotice(whole.left(length)).has_value());
        cr_assert_not(decodeReplicaReport(whole.left(length)).has_value());
    }
}

Test(QuarantineNoticeExchange, reachAVmThatWasDisconnectedAtTheTime)
{
    DispatcherFixture f;
    InMemoryPeerNetwork network(f.loop.timers);
    const VmIncarnation one{QStringLiteral("vm1"), QStringLiteral("zone-a"), 1};
    const VmIncarnation two{QStringLiteral("vm2"), QStringLiteral("zone-b"), 1};
    ReplicaDispatcher other({.timers = f.loop.timers,
                             .metrics = f.metrics,
                             .self = two,
                             .coincidenceRecorded = {}});
    const auto hubOne = network.makeHub(one);
    const auto hubTwo = network.makeHub(two);
    QuarantineNoticeExchange noticesOne(*hubOne, f.dispatcher);
    const QuarantineNoticeExchange noticesTwo(*hubTwo, other);
    VmDescriptor peer;
    peer.incarnation = two;
    hubOne->setPeers({peer});
    f.loop.waitUntil([&] { return hubOne->isConnected(two); }, "the link");

    const CrashCoincidence first{"digest", QStringLiteral("zone-a/e0#1")};
    f.dispatcher.addRemoteCoincidence(first);
    noticesOne.announce(first);
    f.loop.waitUntil([&other] { return other.crashCoincidences().size() == 1; }, "the notice");

    network.cut(one.vm, two.vm);
    f.loop.waitUntil([&] { return !hubOne->isConnected(two); }, "the cut");
    const CrashCoincidence second{"digest", QStringLiteral("zone-a/e1#1")};
    f.dispatcher.addRemoteCoincidence(second);
    noticesOne.announce(second);
    f.loop.runFor(20ms);
    cr_assert_eq(other.crashCoincidences().size(), 1);
    network.healAll();
    f.loop.waitUntil([&other] { return other.crashCoincidences().size() == 2; },
                     "the second notice");
}

Test(CompletionAssembler, joinsTextAndToolCalls)
{
    CompletionAssembler assembler;
    for (const char *chunk :
         {R"({"id":"c1","choices":[{"index":0,"delta":{"role":"assistant","content":"a "}}]})",
          R"({"choices":[{"index":0,"delta":{"content":"b"}}]})",
          R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t","type":"function",
              "function":{"name":"book","arguments":"{\"x\""}}]}}]})",
          R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,
              "function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]})",
          R"({"choices":[],"usage":{"prompt_tokens":3}})"})
        assembler.add(QJsonDocument::fromJson(chunk).object());
    const QJsonObject expected = QJsonDocument::fromJson(R"({"id":"c1","object":"chat.completion",
                "choices":[{"index":0,"finish_reason":"tool_calls","message":{
                    "role":"assistant","content":"a b","tool_calls":[{"id":"t","type":"function",
                    "function":{"name":"book","arguments":"{\"x\":1}"}}]}}],
                "usage":{"prompt_tokens":3}})")
                                         .object();
    cr_assert(QJsonDocument::fromJson(assembler.body()).object() == expected);
}
