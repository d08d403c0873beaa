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
