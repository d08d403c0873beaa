#include "platform/StoreClient.h"
#include "support/StoreFixture.h"

#include <criterion/criterion.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <map>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

QByteArray reply(int status, const QByteArray &body)
{
    return StoreFixture::reply(status, body);
}

QByteArray item(const QByteArray &key, const QByteArray &value, int revision)
{
    return StoreFixture::item(key, value, revision);
}

CompareAndSwapResult swap(StoreFixture &store)
{
    std::optional<CompareAndSwapResult> result;
    store.client->compareAndSwap(
            "k", 4, "v", [&result](const CompareAndSwapResult &finished) { result = finished; });
    store.loop.waitUntil([&result] { return result.has_value(); }, "the end of the write");
    return *result;
}

} // namespace

Test(store_client, reads_all_pages_of_a_prefix)
{
    StoreFixture store([](const HttpRequest &request, const auto &exchange) {
        if (request.target.contains("after="))
            exchange.write(reply(200, R"({"items":[)" + item("p/2", "two", 6)
                                              + R"(],"hasMore":false,"storeRevision":9})"));
        else
            exchange.write(reply(200, R"({"items":[)" + item("p/1", "one", 5)
                                              + R"(],"hasMore":true,"storeRevision":9})"));
    });
    std::optional<std::vector<StoreRecord>> found;
    bool done = false;
    store.client->readPrefix("p/", [&](auto records) {
        found = records;
        done = true;
    });
    store.loop.waitUntil([&done] { return done; }, "the records");
    cr_assert_eq(found->size(), 2);
    cr_assert(found->at(1).value == "two");
    cr_assert_eq(found->at(1).modRevision, 6);
}

Test(store_client, distinguishes_the_outcomes_of_a_write)
{
    QByteArray answer;
    StoreFixture store([&answer](const auto &, const ScriptedReplica::Exchange &exchange) {
        if (answer.isEmpty())
            exchange.reset();
        else
            exchange.write(answer);
    });
    answer = reply(200, R"({"rev":12})");
    cr_assert(swap(store).outcome == CompareAndSwapOutcome::Applied);
    answer = reply(412, R"({"items":[)" + item("k", "other", 8) + "]}");
    const CompareAndSwapResult conflict = swap(store);
    cr_assert(conflict.outcome == CompareAndSwapOutcome::Conflict);
    cr_assert_eq(conflict.current->modRevision, 8);
    answer = reply(503, "{}");
    cr_assert(swap(store).outcome == CompareAndSwapOutcome::NotSent,
              "the store did not apply the write");
    answer = reply(429, "{}");
    cr_assert(swap(store).outcome == CompareAndSwapOutcome::NotSent);
    answer.clear();
    cr_assert(swap(store).outcome == CompareAndSwapOutcome::Unknown,
              "the store may still apply the write");
}

Test(store_client, reports_a_write_without_reply_as_unknown)
{
    StoreFixture store([](const auto &, const auto &) {});
    cr_assert(swap(store).outcome == CompareAndSwapOutcome::Unknown);
}

Test(store_watch, lists_first_and_then_follows_changes)
{
    int polls = 0;
    StoreFixture store([&polls](const HttpRequest &request, const auto &exchange) {
        if (request.target.startsWith("/v1/kv-range")) {
            exchange.write(reply(200, R"({"items":[)" + item("w/1", "one", 5)
                                              + R"(],"hasMore":false,"storeRevision":9})"));
            return;
        }
        cr_expect(request.target.contains(polls == 0 ? "after=9" : "after=11"));
        if (++polls == 1)
            exchange.write(reply(200, R"({"events":[{"key":"w/1","rev":10,"deleted":true},)"
                                              + item("w/2", "two", 11)
                                              + R"(],"storeRevision":11})"));
    });
    std::vector<StoreRecord> seen;
    const auto watch = store.client->watchPrefix(
            "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record); });
    store.loop.waitUntil([&] { return seen.size() == 3 && polls == 2; }, "the changes");
    cr_assert(seen[0].value == "one");
    cr_assert_eq(seen[1].createRevision, 0);
    cr_assert(seen[2].key == "w/2");
}

Test(store_watch, lists_again_when_its_history_is_gone)
{
    int lists = 0;
    int polls = 0;
    StoreFixture store([&](const HttpRequest &request, const auto &exchange) {
        if (request.target.startsWith("/v1/kv-range")) {
            const QByteArray items =
                    ++lists == 1 ? item("w/1", "one", 5) + ',' + item("w/2", "two", 6)
                                 : item("w/2", "two", 6) + ',' + item("w/3", "three", 40);
            exchange.write(reply(200, R"({"items":[)" + items
                                              + R"(],"hasMore":false,"storeRevision":)"
                                              + QByteArray::number(lists * 20) + "}"));
            return;
        }
        if (++polls == 1)
            exchange.write(reply(410, "{}"));
    });
    std::vector<StoreRecord> seen;
    const auto watch = store.client->watchPrefix(
            "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record); });
    store.loop.waitUntil([&] { return seen.size() == 4; }, "the changes");
    cr_assert(seen[2].key == "w/3");
    cr_assert(seen[3].key == "w/1");
    cr_assert_eq(seen[3].createRevision, 0,
                 "a key that is no longer listed is reported as deleted");
}

Test(store_watch, continues_after_an_outage_and_reports_it)
{
    int calls = 0;
    StoreFixture store(
            [&calls](const HttpRequest &request, const ScriptedReplica::Exchange &exchange) {
                ++calls;
                if (calls == 2)
                    exchange.reset();
                else if (calls == 3)
                    exchange.write(reply(503, "{}"));
                else if (request.target.startsWith("/v1/kv-range"))
                    exchange.write(reply(200, R"({"items":[],"hasMore":false,"storeRevision":9})"));
                else if (calls == 4)
                    exchange.write(reply(200, R"({"events":[)" + item("w/2", "two", 11)
                                                      + R"(],"storeRevision":11})"));
            });
    std::vector<StoreRecord> seen;
    const auto watch = store.client->watchPrefix(
            "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record); });
    store.loop.waitUntil([&] { return seen.size() == 1; }, "the change");
    cr_assert(store.contact == (std::vector<bool>{false, true}));
}

Test(store_watch, uses_a_short_wait_until_the_store_is_reachable_again)
{
    std::vector<QByteArray> polls;
    StoreFixture store(
            [&polls](const HttpRequest &request, const ScriptedReplica::Exchange &exchange) {
                if (request.target.startsWith("/v1/kv-range")) {
                    exchange.write(reply(200, R"({"items":[],"hasMore":false,"storeRevision":9})"));
                    return;
                }
                polls.push_back(request.target);
                if (polls.size() <= 2)
                    exchange.write(reply(503, "{}"));
                else if (polls.size() == 3)
                    exchange.write(reply(200, R"({"events":[],"storeRevision":9})"));
            });
    const auto watch = store.client->watchPrefix("w/", 0, [](const StoreRecord &) {});
    store.loop.waitUntil([&] { return polls.size() == 4; }, "four polls");
    cr_assert(polls[0].contains("waitMs=100"));
    // A long poll that starts during an outage would detect the end of the outage much too late.
    cr_assert(polls[1].contains("waitMs=50"));
    cr_assert(polls[2].contains("waitMs=50"));
    cr_assert(polls[3].contains("waitMs=100"));
}

Test(store_watch, reconnects_soon_after_connection_attempts_hung)
{
    EventLoop loop;
    QTcpServer server;
    server.setListenBacklogSize(0);
    cr_assert(server.listen(QHostAddress::LocalHost));
    server.pauseAccepting();
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&server] {
        QTcpSocket *socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            const bool isList = socket->readAll().contains("/v1/kv-range");
            socket->write(reply(200, isList ? R"({"items":[],"hasMore":false,"storeRevision":9})"
                                            : R"({"events":[],"storeRevision":9})"));
        });
    });
    // With a full accept queue the server drops connection requests, as a network partition does.
    std::vector<std::unique_ptr<QTcpSocket>> queuedConnections;
    for (int number = 0; number < 4; ++number) {
        queuedConnections.push_back(std::make_unique<QTcpSocket>());
        queuedConnections.back()->connectToHost(QHostAddress::LocalHost, server.serverPort());
    }
    loop.runFor(milliseconds(100));

    std::vector<bool> contact;
    PlatformStoreSettings settings;
    QUrl url(QStringLiteral("http://127.0.0.1"));
    url.setPort(server.serverPort());
    settings.endpoints = {url};
    settings.clientName = QStringLiteral("test");
    settings.callTimeout = milliseconds(300);
    settings.contactChanged = [&contact](bool reachable) { contact.push_back(reachable); };
    IgnoringMetricsRecorder metrics;
    StoreClient client(loop.timers, metrics, settings);
    const auto watch = client.watchPrefix("w/", 0, [](const StoreRecord &) {});
    loop.runFor(milliseconds(3500));
    cr_assert(contact == std::vector<bool>{false});
    queuedConnections.clear();
    server.resumeAccepting();
    const auto resumeTime = loop.timers.now();
    loop.waitUntil([&contact] { return contact.size() == 2; }, "the store to be reachable");
    // The kernel would retry the first connection only seven seconds after its first attempt.
    cr_assert_lt((loop.timers.now() - resumeTime) / milliseconds(1), 2500);
}

// After an outage each watch found the store again on its own, a second or more after another one
// had, while calls went to replicas that had left meanwhile.
Test(store_watch, continues_as_soon_as_another_watch_reaches_the_store)
{
    bool silent = false;
    std::map<QByteArray, std::chrono::steady_clock::time_point> lastCall; // by prefix
    const auto now = [] { return std::chrono::steady_clock::now(); };
    StoreFixture store([&](const HttpRequest &request, const ScriptedReplica::Exchange &exchange) {
        lastCall[request.target.contains("prefix=a/") ? "a" : "b"] = now();
        if (silent)
            return;
        const QByteArray body = request.target.startsWith("/v1/kv-range")
                                        ? R"({"items":[],"hasMore":false,"storeRevision":9})"
                                        : R"({"events":[],"storeRevision":9})";
        exchange.writeAfter(milliseconds(20), reply(200, body));
    });
    const auto first = store.client->watchPrefix("a/", 0, [](const StoreRecord &) {});
    const auto second = store.client->watchPrefix("b/", 0, [](const StoreRecord &) {});
    store.loop.waitUntil([&] { return lastCall.size() == 2; }, "both watches");
    silent = true;
    store.loop.runFor(milliseconds(2000));
    // The store returns while a call of one watch hangs, and the other one tries again before.
    store.loop.waitUntil(
            [&] {
                return now() - lastCall["b"] < milliseconds(100)
                       && now() - lastCall["a"] > milliseconds(500);
            },
            "a call of the second watch");
    silent = false;
    const auto returned = now();
    store.loop.waitUntil([&] { return lastCall["a"] > returned; }, "the first watch");
    store.loop.runFor(milliseconds(150));
    cr_assert(lastCall["b"] > returned, "the second watch still waits for its call");
}

// A call that was lost in an outage delayed the next one by more than a second.
Test(store_watch, tries_again_soon_while_calls_hang)
{
    std::vector<std::chrono::steady_clock::time_point> calls;
    StoreFixture store([&calls](const HttpRequest &request, const auto &exchange) {
        calls.push_back(std::chrono::steady_clock::now());
        if (request.target.startsWith("/v1/kv-range"))
            exchange.write(reply(200, R"({"items":[],"hasMore":false,"storeRevision":9})"));
    });
    const auto watch = store.client->watchPrefix("w/", 0, [](const StoreRecord &) {});
    store.loop.waitUntil([&calls] { return calls.size() >= 4; },
                         "calls after the first that hangs");
    cr_assert_lt((calls[3] - calls[2]) / milliseconds(1), 1000);
}
