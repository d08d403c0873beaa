#include "platform/StoreClient.h"
#include "support/StoreFixture.h"

#include <criterion/criterion.h>

#include <QList>

#include <chrono>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

using Exchange = ScriptedReplica::Exchange;

constexpr int listRevision = 9;

/** Two sound items of a listing. */
QByteArray soundItems()
{
    return StoreFixture::item("w/1", "one", 5) + ',' + StoreFixture::item("w/2", "two", 6);
}

bool isListing(const HttpRequest &request)
{
    return request.target.startsWith("/v1/kv-range");
}

/** Bodies of a 200 that are no listing. */
QList<QByteArray> unreadableListings()
{
    return {"",
            "not json",
            "null",
            "[]",
            "{}",
            R"({"items":[],"hasMore":false})",
            R"({"hasMore":false,"storeRevision":20})",
            R"({"items":[],"storeRevision":20})",
            R"({"items":{},"hasMore":false,"storeRevision":20})",
            R"({"items":null,"hasMore":false,"storeRevision":20})",
            R"({"items":[],"hasMore":"no","storeRevision":20})",
            R"({"items":[],"hasMore":false,"storeRevision":"20"})",
            R"({"items":[],"hasMore":false,"storeRevision":0})",
            R"({"items":[],"hasMore":false,"storeRevision":-20})",
            R"({"items":[],"hasMore":false,"storeRevision":20.5})",
            R"({"items":[],"hasMore":false,"storeRevision":1e30})",
            R"({"items":[],"hasMore":false,"storeRevision":18446744073709551616})",
            R"({"items":[],"hasMore":false,"storeRevision":5})",
            R"({"items":[],"hasMore":true,"storeRevision":20})",
            R"({"items":[7],"hasMore":true,"storeRevision":20})"};
}

/** Bodies of a 200 that are no changes. */
QList<QByteArray> unreadableChanges()
{
    return {"",
            "not json",
            "[]",
            "{}",
            R"({"events":[]})",
            R"({"storeRevision":20})",
            R"({"events":{},"storeRevision":20})",
            R"({"events":[],"storeRevision":"20"})",
            R"({"events":[],"storeRevision":0})",
            R"({"events":[],"storeRevision":1e30})",
            R"({"events":[],"storeRevision":5})"};
}

/** Items that name no key below the prefix, or no revision. */
QList<QByteArray> unreadableItems()
{
    return {"7",
            "null",
            R"("w/3")",
            "[]",
            "{}",
            R"({"value":"eA==","rev":7,"createdRev":7,"lease":0})",
            R"({"key":"","value":"eA==","rev":7,"createdRev":7,"lease":0})",
            R"({"key":7,"value":"eA==","rev":7,"createdRev":7,"lease":0})",
            R"({"key":"other/3","value":"eA==","rev":7,"createdRev":7,"lease":0})",
            R"({"key":"w/3","value":"eA==","createdRev":7,"lease":0})",
            R"({"key":"w/3","value":"eA==","rev":"7","createdRev":7,"lease":0})",
            R"({"key":"w/3","value":"eA==","rev":-1,"createdRev":7,"lease":0})",
            R"({"key":"w/3","value":"eA==","rev":1e30,"createdRev":7,"lease":0})",
            R"({"rev":7,"deleted":true})"};
}

/** Lists the prefix, loses the history and lists it again, once with the body first. Returns what
    the watch has reported. */
std::vector<StoreRecord> recordsAfterListing(const QByteArray &body)
{
    int lists = 0;
    int polls = 0;
    StoreFixture store([&](const HttpRequest &request, const Exchange &exchange) {
        if (!isListing(request))
            exchange.write(++polls == 1 ? StoreFixture::reply(410, "{}")
                                        : StoreFixture::reply(200, StoreFixture::changes("", 30)));
        else if (++lists == 2)
            exchange.write(StoreFixture::reply(200, body));
        else
            exchange.write(StoreFixture::reply(
                    200, StoreFixture::listing(soundItems(), listRevision * lists)));
    });
    std::vector<StoreRecord> seen;
    const auto watch = store.client->watchPrefix(
            "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record); });
    store.loop.waitUntil([&] { return lists >= 2 && polls >= 2; }, "polls after the second list");
    cr_expect(store.contact == (std::vector<bool>{false, true}), "%s", body.constData());
    return seen;
}

} // namespace

Test(store_watch, takes_no_unreadable_list_for_an_empty_one)
{
    for (const QByteArray &body : unreadableListings()) {
        const std::vector<StoreRecord> seen = recordsAfterListing(body);
        cr_expect_eq(seen.size(), 2, "%d records after %s", static_cast<int>(seen.size()),
                     body.constData());
    }
}

Test(store_watch, continues_behind_the_last_readable_changes)
{
    for (const QByteArray &body : unreadableChanges()) {
        std::vector<QByteArray> polls;
        StoreFixture store([&](const HttpRequest &request, const Exchange &exchange) {
            if (isListing(request)) {
                exchange.write(StoreFixture::reply(
                        200, StoreFixture::listing(soundItems(), listRevision)));
                return;
            }
            polls.push_back(request.target);
            if (polls.size() == 1)
                exchange.write(StoreFixture::reply(200, body));
            else if (polls.size() == 2)
                exchange.write(StoreFixture::reply(
                        200, StoreFixture::changes(StoreFixture::item("w/3", "three", 15), 15)));
        });
        std::vector<StoreRecord> seen;
        const auto watch = store.client->watchPrefix(
                "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record); });
        store.loop.waitUntil([&] { return polls.size() == 3; }, "the third poll");
        cr_expect(polls[1].contains("after=9"), "%s after %s", polls[1].constData(),
                  body.constData());
        cr_expect_eq(seen.size(), 3, "%s", body.constData());
        cr_expect(store.contact == (std::vector<bool>{false, true}), "%s", body.constData());
    }
}

Test(store_watch, reports_the_items_of_a_list_beside_an_unreadable_one)
{
    for (const QByteArray &odd : unreadableItems()) {
        int polls = 0;
        StoreFixture store([&](const HttpRequest &request, const Exchange &exchange) {
            if (isListing(request))
                exchange.write(StoreFixture::reply(
                        200,
                        StoreFixture::listing(StoreFixture::item("w/1", "one", 5) + ',' + odd + ','
                                                      + StoreFixture::item("w/4", "four", 8),
                                              listRevision)));
            else
                ++polls;
        });
        std::vector<QByteArray> seen;
        const auto watch = store.client->watchPrefix(
                "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record.key); });
        store.loop.waitUntil([&] { return polls == 1; }, "a poll");
        cr_expect(seen == (std::vector<QByteArray>{"w/1", "w/4"}), "%s", odd.constData());
    }
}

Test(store_watch, reports_the_changes_beside_an_unreadable_one)
{
    for (const QByteArray &odd : unreadableItems()) {
        int polls = 0;
        StoreFixture store([&](const HttpRequest &request, const Exchange &exchange) {
            if (isListing(request))
                exchange.write(StoreFixture::reply(
                        200, StoreFixture::listing(soundItems(), listRevision)));
            else if (++polls == 1)
                exchange.write(StoreFixture::reply(
                        200,
                        StoreFixture::changes(StoreFixture::item("w/1", "new", 10) + ',' + odd + ','
                                                      + StoreFixture::item("w/4", "four", 12),
                                              12)));
        });
        std::vector<QByteArray> seen;
        const auto watch = store.client->watchPrefix(
                "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record.key); });
        store.loop.waitUntil([&] { return polls == 2; }, "the second poll");
        cr_expect(seen == (std::vector<QByteArray>{"w/1", "w/2", "w/1", "w/4"}), "%s",
                  odd.constData());
    }
}

Test(store_watch, takes_no_item_with_an_unreadable_value_for_a_deleted_one)
{
    const QList<QByteArray> odd{R"({"key":"w/3","rev":7,"createdRev":7})",
                                R"({"key":"w/3","value":7,"rev":7,"createdRev":7})",
                                R"({"key":"w/3","value":"a!b","rev":7,"createdRev":7})",
                                R"({"key":"w/3","value":"eA==","rev":7})",
                                R"({"key":"w/3","value":"eA==","rev":7,"createdRev":"7"})",
                                R"({"key":"w/3","value":"eA==","rev":7,"createdRev":-7})"};
    for (const QByteArray &item : odd) {
        int polls = 0;
        StoreFixture store([&](const HttpRequest &request, const Exchange &exchange) {
            if (isListing(request))
                exchange.write(StoreFixture::reply(200, StoreFixture::listing(item, listRevision)));
            else
                ++polls;
        });
        std::vector<StoreRecord> seen;
        const auto watch = store.client->watchPrefix(
                "w/", 0, [&seen](const StoreRecord &record) { seen.push_back(record); });
        store.loop.waitUntil([&] { return polls == 1; }, "a poll");
        cr_assert_eq(seen.size(), 1, "%s", item.constData());
        cr_expect_gt(seen.front().createRevision, 0, "%s", item.constData());
        cr_expect(seen.front().value.isEmpty() || seen.front().value == "x", "%s",
                  item.constData());
    }
}

// A page that repeats, or whose last item has no key, made the client read pages without end.
Test(store_client, ends_a_listing_whose_pages_repeat)
{
    const QByteArray withoutKey = R"({"value":"eA==","rev":7,"createdRev":7,"lease":0})";
    for (const QByteArray &items : {soundItems(), QByteArray(), withoutKey,
                                    StoreFixture::item("w/1", "one", 5) + ',' + withoutKey}) {
        const QByteArray page = R"({"items":[)" + items + R"(],"hasMore":true,"storeRevision":9})";
        StoreFixture store([&page](const HttpRequest &, const Exchange &exchange) {
            exchange.write(StoreFixture::reply(200, page));
        });
        std::optional<std::optional<std::vector<StoreRecord>>> found;
        store.client->readPrefix("w/", [&found](auto records) { found = std::move(records); });
        store.loop.runFor(milliseconds(200));
        cr_expect(found.has_value() && !found->has_value(), "%s", page.constData());
        cr_expect_leq(store.server.requests().size(), 2, "%d calls for %s",
                      static_cast<int>(store.server.requests().size()), page.constData());
    }
}

Test(store_client, fails_a_read_whose_reply_is_unreadable)
{
    QByteArray body;
    StoreFixture store([&body](const HttpRequest &, const Exchange &exchange) {
        exchange.write(StoreFixture::reply(200, body));
    });
    QList<QByteArray> bodies = unreadableItems();
    bodies += {"not json", R"({"key":"w/3","value":"a!b","rev":7,"createdRev":7,"lease":0})",
               R"({"key":"w/3","rev":7,"createdRev":7,"lease":0})",
               R"({"key":"w/34","value":"eA==","rev":7,"createdRev":7,"lease":0})"};
    for (const QByteArray &odd : bodies) {
        body = odd;
        std::optional<std::optional<std::vector<StoreRecord>>> found;
        store.client->read("w/3", [&found](auto records) { found = std::move(records); });
        store.loop.waitUntil([&found] { return found.has_value(); }, "the end of the read");
        cr_expect_not(found->has_value(), "%s", odd.constData());
    }
}

Test(store_client, fails_a_listing_whose_reply_is_unreadable)
{
    QByteArray body;
    StoreFixture store([&body](const HttpRequest &, const Exchange &exchange) {
        exchange.write(StoreFixture::reply(200, body));
    });
    // A single listing can't tell that the revision went back.
    QList<QByteArray> bodies = unreadableListings();
    bodies.removeAll(R"({"items":[],"hasMore":false,"storeRevision":5})");
    for (const QByteArray &odd : bodies) {
        body = odd;
        std::optional<std::optional<std::vector<StoreRecord>>> found;
        store.client->readPrefix("w/", [&found](auto records) { found = std::move(records); });
        store.loop.waitUntil([&found] { return found.has_value(); }, "the end of the read");
        cr_expect_not(found->has_value(), "%s", odd.constData());
    }
}

// Such a write was taken for one at revision 0.
Test(store_client, reports_a_write_with_an_unreadable_reply_as_unknown)
{
    QByteArray body;
    StoreFixture store([&body](const HttpRequest &, const Exchange &exchange) {
        exchange.write(StoreFixture::reply(200, body));
    });
    for (const char *odd : {"", "[]", "{}", R"({"rev":"12"})", R"({"rev":0})", R"({"rev":-1})",
                            R"({"rev":1e30})", R"({"rev":1.5})"}) {
        body = odd;
        std::optional<CompareAndSwapResult> written;
        store.client->compareAndSwap(
                "k", 4, "v", [&written](const CompareAndSwapResult &result) { written = result; });
        store.loop.waitUntil([&written] { return written.has_value(); }, "the end of the write");
        cr_expect(written->outcome == CompareAndSwapOutcome::Unknown, "%s", odd);
    }
}

Test(store_client, grants_no_lease_from_an_unreadable_reply)
{
    QByteArray body;
    StoreFixture store([&body](const HttpRequest &, const Exchange &exchange) {
        exchange.write(StoreFixture::reply(200, body));
    });
    for (const char *odd : {"", "[]", "{}", R"({"lease":"12"})", R"({"lease":0})",
                            R"({"lease":-1})", R"({"lease":1e30})", R"({"lease":1.5})"}) {
        body = odd;
        std::optional<std::optional<std::int64_t>> lease;
        store.client->grantLease(std::chrono::seconds(3), [&lease](auto id) { lease = id; });
        store.loop.waitUntil([&lease] { return lease.has_value(); }, "the end of the call");
        cr_expect_not(lease->has_value(), "%s", odd);
    }
}
