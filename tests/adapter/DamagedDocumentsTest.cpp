#include "bytes/MutatedBytes.h"
#include "lacewingmux_core/settings/SettingsFindings.h"
#include "lacewingmux_gateway/forwarding/EventSequence.h"
#include "lacewingmux_gateway/forwarding/EventStreamParser.h"
#include "lacewingmux_gateway/http/RequestDecoder.h"
#include "lacewingmux_gateway/http/ResponseDecoder.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_relay/messages/RelayCodec.h"
#include "lacewingmux_relay/store/RelayedTopic.h"
#include "platform/ConfigurationDocument.h"
#include "platform/HttpDialect.h"
#include "platform/PlatformSettings.h"
#include "platform/ReplicaEntry.h"
#include "platform/StoreChanges.h"
#include "platform/StoreItem.h"
#include "platform/StoreListing.h"

#include <criterion/criterion.h>

#include <QJsonDocument>
#include <QJsonObject>

using namespace lacewingmux;

// Guards against one malformed message that ends a process: what callers, replicas, the operators
// and the platform's store send, damaged by seeds. A decoder may refuse it, but must return.

namespace {

constexpr int rounds = 20000;

const QByteArray configuration = R"({"version":7,"routes":[{"name":"r1","host":"a.example",
 "prefix":"/x/","type":"stream","timeoutMs":5000,"service":"llm","attempts":2,"retain":true,
 "retentionS":60.0,"trafficSplit":[{"service":"one","weight":90}]}],
 "services":[{"name":"llm","maxConns":360,"engine":{"tokensPerEvent":14}}],
 "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":3000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"ratePerS":249,"burst":12}]})";

const QByteArray settings = R"({"nodeName":"front-a-1","zone":"a","ip":"10.1.0.11",
 "listen":{"front":"10.1.0.11:8368"},"internalPortRange":[7780,7795],"dataDir":null,
 "limits":{"memoryMb":110,"maxFds":4100},"bounds":{"graceS":8,"drainMs":1500},
 "provider":{"address":"10.200.1.7:8362"}})";

const QByteArray replica = R"({"service":"llm","address":"10.1.64.2:8000","zone":"a","version":3,
 "slots":8,"state":"ready","coldRemainingMs":40,"callSeq":12,"born":1790000000000})";

const QByteArray item = R"({"key":"op/config","value":"e30=","rev":12,"createdRev":3,"lease":0})";

const QByteArray request = "POST /x/y?z=1 HTTP/1.1\r\nHost: a.example\r\n"
                           "Lacewingmux-Request-Id: 9c41d07be2a35f68\r\n"
                           "Lacewingmux-Token-Usage: 1460,80\r\n"
                           "Lacewingmux-Prefix-Hash: 5c1e07a2:800,91bd3f06:410\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

const QByteArray response = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: 9c41d07be2a35f68\r\n"
                            "Lacewingmux-Server-Load: 3,0,8\r\nKeep-Alive: timeout=5\r\n"
                            "Content-Length: 5\r\n\r\nhello";

const QByteArray events =
        "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: comment\n\ndata: three\n\n";

} // namespace

Test(damaged_documents, end_no_node)
{
    MutatedBytes mutation(1);
    int configurations = 0;
    int replicas = 0;
    for (int round = 0; round < rounds; ++round) {
        configurations += readConfiguration(mutation.damaged(configuration, settings)) ? 1 : 0;
        SettingsFindings findings;
        (void)PlatformSettings::read(mutation.damaged(settings, replica), findings);
        replicas += readReplicaEntry("servers/i-1", mutation.damaged(replica, item)) ? 1 : 0;
        (void)readStoreItem(QJsonDocument::fromJson(mutation.damaged(item, replica)).object(),
                            "op/");
    }
    cr_assert_gt(configurations, 0);
    cr_assert_gt(replicas, 0);
}

Test(damaged_documents, of_the_store_lose_no_item_beside_them)
{
    MutatedBytes mutation(3);
    const QByteArray page = R"({"items":[{"key":"op/a","value":"e30=","rev":12,"createdRev":3,)"
                            R"("lease":0},)"
                            + item + R"(],"hasMore":false,"storeRevision":20})";
    const QByteArray poll = R"({"events":[{"key":"op/a","rev":13,"deleted":true},)" + item
                            + R"(],"storeRevision":20})";
    int pages = 0;
    int polls = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto body = [&mutation](const QByteArray &sound, const QByteArray &other) {
            return QJsonDocument::fromJson(mutation.damaged(sound, other)).object();
        };
        StoreListing listing("op/", 1);
        pages += listing.addPage(body(page, poll)) == StoreListing::State::Complete ? 1 : 0;
        for (const StoreRecord &record : listing.records())
            cr_assert(record.key.startsWith("op/") && record.modRevision > 0
                      && record.createRevision > 0);
        const auto changes = StoreChanges::fromReply(body(poll, page), "op/", 1);
        polls += changes ? 1 : 0;
        cr_assert(!changes || changes->revision >= 1);
    }
    cr_assert_gt(pages, 0);
    cr_assert_gt(polls, 0);
}

Test(damaged_documents, of_relays_leave_only_records_of_their_prefix)
{
    const RelayUpdate sound{"op/", 20, true, {{"op/a", "{}", 3, 12, 0}, {"op/b", "{}", 4, 13, 0}}};
    const QByteArray update = RelayCodec::encodeUpdate(sound);
    MutatedBytes mutation(4);
    int decoded = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto damaged = RelayCodec::decodeUpdate(mutation.damaged(update, update));
        RelayedTopic topic("op/");
        if (damaged)
            (void)topic.apply(*damaged);
        decoded += damaged ? 1 : 0;
        for (const StoreRecord &record : topic.records())
            cr_assert(record.key.startsWith("op/") && record.modRevision > 0);
        cr_assert_geq(topic.revision(), 0);
    }
    cr_assert_gt(decoded, 0);
}

Test(damaged_documents, of_callers_and_replicas_end_no_node)
{
    MutatedBytes mutation(2);
    const CallDialect dialect = platformDialect();
    int complete = 0;
    for (int round = 0; round < rounds; ++round) {
        RequestDecoder requests{HttpLimits()};
        const QByteArray damagedRequest = mutation.damaged(request, response);
        requests.append(damagedRequest.left(damagedRequest.size() / 2));
        requests.append(damagedRequest.mid(damagedRequest.size() / 2));
        if (requests.state() == DecodeState::Complete) {
            ++complete;
            (void)dialect.parseRequest(requests.take());
        }
        ResponseDecoder responses(false);
        responses.append(mutation.damaged(response, request));
        if (responses.state() >= DecodeState::Body && responses.state() <= DecodeState::Complete)
            (void)dialect.parseResponse(responses.head());
        // The connection does the same when the replica closes it.
        if (responses.state() == DecodeState::Body && responses.head().bodyEndsAtClose)
            responses.appendEnd();
        EventStreamParser parser;
        EventSequence sequence;
        const QByteArray damagedEvents = mutation.damaged(events, request);
        const QByteArray whole = parser.append(damagedEvents, sequence).text;
        cr_assert(damagedEvents.startsWith(whole), "an event stream is passed on as it is");
    }
    cr_assert_gt(complete, 0);
}
