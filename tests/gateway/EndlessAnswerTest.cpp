#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a VM that runs out of memory: a replica in trouble may send bytes without end, in
// a head or in a body, until its caller closes the connection.

namespace {

constexpr milliseconds writeInterval{2};
constexpr int writeCount = 700; // about as long as the timeout of the routes
constexpr qsizetype writeSize = qsizetype{32} * 1024;
constexpr milliseconds soon{1200}; // well before that timeout

/** A replica that begins each answer with the given bytes and goes on without end. */
struct EndlessReplica
{
    using Beginning = std::function<QByteArray(const HttpRequest &)>;

    EndlessReplica(const Beginning &beginning, const QByteArray &filling)
        : fixture(1, [this, beginning, filling](const HttpRequest &request, const auto &exchange) {
            this->exchanges.push_back(exchange);
            exchange.write(beginning(request));
            const QByteArray block = filling.repeated(writeSize / filling.size());
            for (int number = 1; number <= writeCount; ++number)
                exchange.writeAfter(writeInterval * number, block);
        })
    { }

    /** Returns whether the connections of as many calls are closed soon. */
    bool closesConnections(const char *path, int calls = 1)
    {
        for (int number = 0; number < calls; ++number) {
            this->callers.push_back(std::make_unique<RawCaller>(this->fixture.gateway->port()));
            this->callers.back()->send(
                    GatewayFixture::request("POST", path, "r" + QByteArray::number(number)));
        }
        const auto end = this->fixture.loop.timers.now() + soon;
        while (this->fixture.loop.timers.now() < end && !this->areClosed(calls))
            this->runBriefly();
        return this->areClosed(calls);
    }

    /** Returns whether the only caller gets this answer. */
    bool answers(const QByteArray &statusLine)
    {
        const RawCaller &caller = *this->callers.front();
        this->fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                                     "the answer");
        return caller.received().startsWith(statusLine);
    }

    void runBriefly()
    {
        this->fixture.loop.runFor(milliseconds(2));
        this->mostBuffered =
                std::max(this->mostBuffered, this->fixture.gateway->bufferedResponseBytes());
    }

    [[nodiscard]] bool areClosed(int calls) const
    {
        return static_cast<int>(this->exchanges.size()) == calls
               && std::all_of(this->exchanges.begin(), this->exchanges.end(),
                              [](const auto &exchange) { return exchange.isClosed(); });
    }

    std::vector<ScriptedReplica::Exchange> exchanges;
    qsizetype mostBuffered = 0;
    GatewayFixture fixture;
    std::vector<std::unique_ptr<RawCaller>> callers;
};

QByteArray headWith(const HttpRequest &request, const QByteArray &fields)
{
    return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: "
           + fieldValue(request.fields, "Lacewingmux-Request-Id")
           + "\r\nLacewingmux-Server-Stamp: stamp\r\n" + fields + "\r\n";
}

} // namespace

Test(endless_answer, in_a_head_is_cut)
{
    EndlessReplica replica([](const auto &) { return "HTTP/1.1 200 OK\r\nX: "; }, "x");
    cr_assert(replica.closesConnections("/once/x"));
}

Test(endless_answer, of_informational_responses_is_cut)
{
    EndlessReplica replica([](const auto &) { return ""; }, "HTTP/1.1 102 Processing\r\n\r\n");
    cr_assert(replica.closesConnections("/once/x"));
}

Test(endless_answer, in_the_header_of_a_chunk_is_cut)
{
    EndlessReplica replica(
            [](const HttpRequest &request) {
                return headWith(request, "Transfer-Encoding: chunked\r\n") + "5;x=";
            },
            "x");
    cr_assert(replica.closesConnections("/once/x"));
}

Test(endless_answer, in_the_trailer_is_cut)
{
    EndlessReplica replica(
            [](const HttpRequest &request) {
                return headWith(request, "Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\nX: ";
            },
            "x");
    cr_assert(replica.closesConnections("/once/x"));
}

Test(endless_answer, in_a_body_is_cut)
{
    EndlessReplica replica([](const HttpRequest &request) { return headWith(request, ""); }, "x");
    cr_assert(replica.closesConnections("/once/x"));
}

Test(endless_answer, in_an_event_of_a_stream_is_cut)
{
    EndlessReplica replica(
            [](const HttpRequest &request) {
                return headWith(request, "Content-Type: text/event-stream\r\n") + "data: ";
            },
            "x");
    cr_assert(replica.closesConnections("/stream/x"));
}

Test(endless_answer, of_whole_events_is_cut)
{
    EndlessReplica replica(
            [](const HttpRequest &request) {
                return headWith(request, "Content-Type: text/event-stream\r\n");
            },
            "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n");
    cr_assert(replica.closesConnections("/stream/x"));
}

Test(endless_answer, to_another_request_is_cut)
{
    EndlessReplica replica(
            [](const auto &) {
                return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: other\r\n"
                       "Lacewingmux-Server-Stamp: stamp\r\n\r\n";
            },
            "x");
    cr_assert(replica.closesConnections("/once/x"));
}

Test(endless_answer, of_responses_to_another_request_is_cut)
{
    EndlessReplica replica([](const auto &) { return ""; },
                           "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: other\r\n"
                           "Lacewingmux-Server-Stamp: stamp\r\nContent-Length: 0\r\n\r\n");
    cr_assert(replica.closesConnections("/once/x"));
    cr_assert(replica.answers("HTTP/1.1 502"));
}

Test(endless_answer, in_the_headers_of_small_chunks_is_cut)
{
    EndlessReplica replica(
            [](const HttpRequest &request) {
                return headWith(request, "Transfer-Encoding: chunked\r\n");
            },
            "1;x=" + QByteArray(1000, 'y') + "\r\na\r\n");
    cr_assert(replica.closesConnections("/once/x"));
    cr_assert(replica.answers("HTTP/1.1 502"));
}

Test(endless_answer, of_parts_of_a_stream_without_data_is_cut)
{
    const QByteArray longComment = ":" + QByteArray(2000, 'x') + "\n";
    for (const QByteArray &filling :
         {QByteArray(": x\n"), QByteArray(": x\n\n"), QByteArray("\n"), QByteArray("\r\n"),
          QByteArray("retry: 1\n\n"), QByteArray("x-field: y\n\n"), QByteArray("id: 1\n\n"),
          longComment + "data: x\n\n"}) {
        EndlessReplica replica(
                [](const HttpRequest &request) {
                    return headWith(request, "Content-Type: text/event-stream\r\n");
                },
                filling);
        cr_assert(replica.closesConnections("/stream/x"), "%s", filling.constData());
    }
}

Test(endless_answer, of_comments_is_continued_by_another_replica)
{
    int requests = 0;
    GatewayFixture fixture(2, [&requests](const HttpRequest &request, const auto &exchange) {
        if (++requests == 1)
            exchange.write(headWith(request, "Content-Type: text/event-stream\r\n")
                           + QByteArray(": x\n\n").repeated(writeSize));
        else
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a")
                           + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    cr_assert(caller.received().contains("data: a"));
    cr_assert_eq(caller.received().count("HTTP/1.1"), 1);
}

Test(endless_answer, to_many_calls_is_cut_before_their_sum_fills_the_memory)
{
    EndlessReplica replica([](const HttpRequest &request) { return headWith(request, ""); }, "x");
    cr_assert(replica.closesConnections("/once/x", 6));
    // The bytes of one read are counted before its call ends.
    cr_assert_leq(replica.mostBuffered, GatewayFixture::bufferedResponseLimit * 5 / 4);
    cr_assert_eq(replica.fixture.gateway->bufferedResponseBytes(), 0);
}

Test(endless_answer, does_not_crowd_out_small_answers)
{
    EndlessReplica replica(
            [](const HttpRequest &request) {
                const bool isSmall = request.target == "/once/small";
                return isSmall ? GatewayFixture::answer(request, "ran") : headWith(request, "");
            },
            "x");
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < 4; ++number) {
        callers.push_back(std::make_unique<RawCaller>(replica.fixture.gateway->port()));
        callers.back()->send(
                GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(number)));
    }
    for (int number = 0; number < 20; ++number) {
        RawCaller caller(replica.fixture.gateway->port());
        caller.send(
                GatewayFixture::request("POST", "/once/small", "s" + QByteArray::number(number)));
        replica.fixture.loop.waitUntil([&] { return caller.received().endsWith("ran"); },
                                       "the answer");
    }
}
