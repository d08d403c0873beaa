#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr double limit = 4.0; // requests per second
constexpr milliseconds window{1500};
// What a replica may get in the window: one and a half times its limit, and five requests.
constexpr std::size_t allowedInWindow = 14;

/** A gateway before replicas of which the first ones name a limit in their answers. */
struct LimitedReplicas
{
    explicit LimitedReplicas(int replicaCount, int limitedCount)
        : limited(limitedCount)
        , fixture(replicaCount, [this](const HttpRequest &request, const auto &exchange) {
            const QByteArray id = fieldValue(request.fields, "Lacewingmux-Expect-Instance");
            const bool isLimited = id.mid(2).toInt() < this->limited;
            const QByteArray field = isLimited
                                             ? "Server-Limit: " + QByteArray::number(limit) + "\r\n"
                                             : QByteArray();
            exchange.write(GatewayFixture::answer(request, "ran", field));
        })
    { }

    /** Sends one request on an own connection and returns the response. */
    QByteArray response()
    {
        RawCaller caller(this->fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", "/once/x",
                                            "r" + QByteArray::number(++this->requests)));
        this->fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                                     "the answer");
        return caller.received();
    }

    /** Sends requests one after the other; returns how many were answered with success. */
    int answeredWithin(milliseconds duration)
    {
        int answered = 0;
        const auto end = this->fixture.loop.timers.now() + duration;
        while (this->fixture.loop.timers.now() < end) {
            answered += this->response().startsWith("HTTP/1.1 200") ? 1 : 0;
            this->fixture.loop.runFor(milliseconds(5));
        }
        return answered;
    }

    [[nodiscard]] std::size_t received(std::size_t replica) const
    {
        return this->fixture.replicas[replica]->requests().size();
    }

    int limited;
    int requests = 0;
    GatewayFixture fixture;
};

} // namespace

// A replica that had named a limit in its answers got several times as many requests.
Test(limited_replica, gets_no_more_than_its_limit)
{
    LimitedReplicas test(2, 1);
    const int answered = test.answeredWithin(window);
    cr_assert_leq(test.received(0), allowedInWindow);
    cr_assert_geq(test.received(0), 3, "it still gets what it takes");
    cr_assert_eq(answered, test.requests, "the other replica takes the rest");
}

Test(limited_replica, refuses_a_call_at_once_that_no_replica_can_take)
{
    LimitedReplicas test(2, 2);
    for (int number = 0; number < 4; ++number)
        test.response(); // the first responses name the limits, and use them up
    const auto sent = test.fixture.loop.timers.now();
    const QByteArray refusal = test.response();
    cr_assert(refusal.startsWith("HTTP/1.1 503"), "%s", refusal.constData());
    cr_assert(refusal.contains("Retry-After: 0."), "%s", refusal.constData());
    cr_assert_lt((test.fixture.loop.timers.now() - sent).count(),
                 std::chrono::nanoseconds(milliseconds(100)).count());
}

Test(limited_replica, is_used_again_once_it_names_no_limit)
{
    LimitedReplicas test(1, 1);
    test.answeredWithin(milliseconds(500));
    test.limited = 0;
    cr_assert_geq(test.answeredWithin(milliseconds(1000)), 20);
}

Test(limited_replica, keeps_its_limit_when_its_entry_lapses_and_returns)
{
    LimitedReplicas test(1, 1);
    cr_assert(test.response().endsWith("ran"));
    cr_assert(test.response().endsWith("ran"));
    test.fixture.gateway->setReplicas({});
    test.fixture.gateway->setReplicas(test.fixture.instances);
    cr_assert(test.response().startsWith("HTTP/1.1 503"));
}

Test(limited_replica, has_no_limit_after_a_new_start)
{
    LimitedReplicas test(1, 1);
    cr_assert(test.response().endsWith("ran"));
    cr_assert(test.response().endsWith("ran"));
    cr_assert(test.response().startsWith("HTTP/1.1 503"));
    ++test.fixture.instances[0].startMilliseconds;
    test.fixture.gateway->setReplicas(test.fixture.instances);
    cr_assert(test.response().endsWith("ran"));
}

Test(limited_replica, names_its_limit_in_a_refusal_too)
{
    GatewayFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        const QByteArray id = fieldValue(request.fields, "Lacewingmux-Request-Id");
        if (fieldValue(request.fields, "Lacewingmux-Expect-Instance") == "i-0")
            exchange.write("HTTP/1.1 503 Full\r\nLacewingmux-Request-Id: " + id
                           + "\r\nLacewingmux-Not-Executed: 1\r\nServer-Limit: 0.5\r\n"
                             "Content-Length: 0\r\n\r\n");
        else
            exchange.write(GatewayFixture::answer(request, "ran"));
    });
    for (int number = 0; number < 20; ++number) {
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(number)));
        fixture.loop.waitUntil([&] { return caller.received().endsWith("ran"); }, "the answer");
    }
    cr_assert_leq(fixture.replicas[0]->requests().size(), 3);
}

// Unlike a response of the replica without a limit, bytes that are none say nothing about the
// limit.
Test(limited_replica, keeps_its_limit_after_an_unusable_response)
{
    int count = 0;
    GatewayFixture fixture(1, [&count](const HttpRequest &request, const auto &exchange) {
        ++count;
        if (count % 4 != 1)
            exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        else
            exchange.write(GatewayFixture::answer(request, "ran", "Server-Limit: 1\r\n"));
    });
    for (int number = 0; number < 20; ++number) {
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(number),
                                            "Lacewingmux-Deadline-Ms: 300\r\n"));
        fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                               "the answer");
    }
    cr_assert_leq(count, 3);
}
