#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

using Exchange = ScriptedReplica::Exchange;

constexpr milliseconds waitForRepetition{300}; // several times the delay before a call is repeated
const QByteArray notExecuted = "Lacewingmux-Not-Executed: 1\r\n";

QByteArray idLine(const QByteArray &id)
{
    return "Lacewingmux-Request-Id: " + id + "\r\n";
}

/** Returns a failure with the given status line and fields, whose body is the status line. */
QByteArray failure(const QByteArray &statusLine, const QByteArray &fields)
{
    return "HTTP/1.1 " + statusLine + "\r\nKeep-Alive: timeout=5\r\n" + fields
           + "Content-Length: " + QByteArray::number(statusLine.size()) + "\r\n\r\n" + statusLine;
}

QByteArray success(const QByteArray &id, const QByteArray &body, const QByteArray &fields = {})
{
    HttpRequest request;
    request.fields.push_back({"Lacewingmux-Request-Id", id});
    return GatewayFixture::answer(request, body, fields);
}

/** A gateway with one replica, which writes a scripted text for each of its first requests and a
    whole answer for the next ones. */
class ScriptedExchanges
{
public:
    explicit ScriptedExchanges(std::vector<QByteArray> texts)
        : script(std::move(texts))
        , fixture(1, [this](const HttpRequest &request, const Exchange &exchange) {
            this->exchanges.push_back(exchange);
            const std::size_t number = this->exchanges.size();
            exchange.write(number <= this->script.size() ? this->script[number - 1]
                                                         : GatewayFixture::answer(request, "own."));
        })
    { }

    /** Returns what the caller gets for one request, up to the end of the first response. */
    QByteArray call(const QByteArray &method, const QByteArray &path, const QByteArray &id)
    {
        return this->responseTo(GatewayFixture::request(method, path, id));
    }

    QByteArray responseTo(const QByteArray &request)
    {
        RawCaller caller(this->fixture.gateway->port());
        caller.send(request);
        this->fixture.loop.waitUntil(
                [&] { return caller.isClosed() || isWhole(caller.received()); }, "the response");
        return caller.received();
    }

    [[nodiscard]] int requestCount() const
    {
        return this->fixture.requestCount();
    }

    [[nodiscard]] int connectionCount() const
    {
        return this->fixture.replicas[0]->connectionCount();
    }

    std::vector<QByteArray> script;
    std::vector<Exchange> exchanges;
    GatewayFixture fixture;

private:
    static bool isWhole(const QByteArray &text)
    {
        const qsizetype headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0)
            return false;
        constexpr const char *lengthField = "\r\nContent-Length: ";
        const qsizetype field = text.indexOf(lengthField);
        const qsizetype start = field + static_cast<qsizetype>(qstrlen(lengthField));
        const qsizetype length = text.mid(start, text.indexOf('\r', start) - start).toLongLong();
        return field >= 0 && text.size() >= headEnd + 4 + length;
    }
};

} // namespace

// A faulty replica wrote an earlier refusal once more on a kept connection.
Test(late_refusal, without_an_id_is_not_taken_for_not_run)
{
    for (const QByteArray &status : {QByteArray("503 Full"), QByteArray("429 Slow down"),
                                     QByteArray("421 Other"), QByteArray("400 No id")}) {
        ScriptedExchanges test({success("r1", "first"), failure(status, notExecuted)});
        test.call("POST", "/once/x", "r1");
        const QByteArray response = test.call("POST", "/once/x", "r2");
        cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
        test.fixture.loop.runFor(waitForRepetition);
        cr_assert_eq(test.requestCount(), 2, "it must not run twice");
        cr_assert(test.call("POST", "/once/x", "r3").endsWith("own."));
        cr_assert_eq(test.connectionCount(), 2, "the connection must not be used again");
    }
}

Test(late_failure, without_an_id_does_not_end_a_call_that_may_be_repeated)
{
    ScriptedExchanges test({success("r1", "first"), failure("500 Broken", {})});
    test.call("POST", "/safe/x", "r1");
    const QByteArray response = test.call("POST", "/safe/x", "r2");
    cr_assert(response.endsWith("own."), "%s", response.constData());
    cr_assert_eq(test.requestCount(), 3);
}

Test(refusal, without_an_id_holds_on_a_connection_without_earlier_requests)
{
    ScriptedExchanges test({failure("503 Full", notExecuted)});
    const QByteArray response = test.call("POST", "/once/x", "r1");
    cr_assert(response.endsWith("own."), "%s", response.constData());
    cr_assert_eq(test.requestCount(), 2);
}

Test(late_failure, is_not_taken_for_the_answer_to_a_request_without_an_id)
{
    const QByteArray request = "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                               "Authorization: Token good\r\nContent-Length: 0\r\n\r\n";
    ScriptedExchanges test({success("r1", "first"), failure("503 Full", notExecuted)});
    test.call("POST", "/once/x", "r1");
    test.script.push_back("HTTP/1.1 200 OK\r\nLacewingmux-Server-Stamp: s\r\n"
                          "Content-Length: 4\r\n\r\nmine");
    const QByteArray response = test.responseTo(request);
    cr_assert(response.endsWith("mine"), "%s", response.constData());
    cr_assert_eq(test.connectionCount(), 3, "each gets a connection without earlier requests");
}

// The call was rejected, and then placed at the same replica again.
Test(late_refusal, of_the_same_call_is_not_taken_for_its_second_answer)
{
    std::vector<Exchange> exchanges;
    const QByteArray refusal = failure("503 Full", idLine("r1") + notExecuted);
    GatewayFixture fixture(1, [&](const HttpRequest &request, const Exchange &exchange) {
        exchanges.push_back(exchange);
        if (exchanges.size() > 1) {
            exchanges.front().write(refusal);
            exchange.writeAfter(milliseconds(100), GatewayFixture::answer(request, "own."));
        } else {
            exchange.write(refusal);
        }
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().endsWith("own."), "%s", caller.received().constData());
    fixture.loop.runFor(waitForRepetition);
    cr_assert_eq(fixture.requestCount(), 2, "it must not run twice");
}

Test(rejected_call, leaves_its_connection_to_other_calls)
{
    ScriptedExchanges test({failure("503 Full", idLine("r1") + notExecuted)});
    cr_assert(test.call("POST", "/once/x", "r1").endsWith("own."));
    cr_assert_eq(test.connectionCount(), 2, "its second attempt needs another connection");
    // Both are idle now; two calls at a time use both.
    RawCaller first(test.fixture.gateway->port());
    RawCaller second(test.fixture.gateway->port());
    first.send(GatewayFixture::request("POST", "/once/x", "r2"));
    second.send(GatewayFixture::request("POST", "/once/x", "r3"));
    test.fixture.loop.waitUntil(
            [&] { return first.received().endsWith("own.") && second.received().endsWith("own."); },
            "the answers");
    cr_assert_eq(test.connectionCount(), 2);
}

Test(late_answer, to_an_earlier_request_with_the_same_id_is_not_taken_for_the_second_one)
{
    const QByteArray first = success("r1", "first");
    std::optional<Exchange> earlier;
    GatewayFixture fixture(1, [&](const HttpRequest &request, const Exchange &exchange) {
        if (!earlier) {
            exchange.write(first);
            earlier = exchange;
            return;
        }
        earlier->write(first);
        exchange.writeAfter(milliseconds(50), GatewayFixture::answer(request, "second"));
    });
    for (const char *expected : {"first", "second"}) {
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
        fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                               "the answer");
        cr_assert(caller.received().endsWith(expected), "%s", caller.received().constData());
    }
}

Test(late_answer, is_discarded_behind_an_interim_response)
{
    const QByteArray interim = "HTTP/1.1 103 Early Hints\r\nLacewingmux-Request-Id: r2\r\n\r\n";
    ScriptedExchanges test({success("r1", "first"),
                            interim + success("r1", "first") + interim + success("r2", "own.")});
    test.call("POST", "/once/x", "r1");
    cr_assert(test.call("POST", "/once/x", "r2").endsWith("own."));
    cr_assert_eq(test.connectionCount(), 1);
}

Test(late_refusal, that_names_another_request_is_discarded)
{
    for (const QByteArray &status :
         {QByteArray("503 Full"), QByteArray("421 Other"), QByteArray("500 Broken")}) {
        const QByteArray late = failure(status, idLine("r1") + notExecuted);
        ScriptedExchanges test({success("r1", "first"), late + success("r2", "own.")});
        test.call("POST", "/once/x", "r1");
        const QByteArray response = test.call("POST", "/once/x", "r2");
        cr_assert(response.endsWith("own."), "%s", response.constData());
        cr_assert_eq(test.requestCount(), 2);
    }
}

Test(late_answer, between_two_exchanges_closes_the_connection)
{
    ScriptedExchanges test({success("r1", "first")});
    test.call("POST", "/once/x", "r1");
    test.exchanges.front().write(success("r1", "first"));
    test.fixture.loop.waitUntil([&] { return test.exchanges.front().isClosed(); }, "the close");
    cr_assert(test.call("POST", "/once/x", "r2").endsWith("own."));
    cr_assert_eq(test.connectionCount(), 2);
}

Test(late_answer, that_is_cut_is_not_joined_with_the_next_one)
{
    const QByteArray late = success("r1", "first and more");
    for (qsizetype cut = 1; cut < late.size(); ++cut) {
        ScriptedExchanges test({success("r1", "first"), late.left(cut) + success("r2", "own.")});
        test.call("POST", "/once/x", "r1");
        const QByteArray response = test.call("POST", "/once/x", "r2");
        const bool failed =
                response.startsWith("HTTP/1.1 502") || response.startsWith("HTTP/1.1 504");
        cr_assert(failed, "cut at %d: %s", static_cast<int>(cut), response.constData());
        test.fixture.loop.runFor(milliseconds(5));
        cr_assert_eq(test.requestCount(), 2, "it must not run twice");
    }
}

Test(late_refusal, that_is_cut_does_not_lend_its_status_to_the_next_answer)
{
    const QByteArray late =
            failure("503 Full", notExecuted + "Lacewingmux-Server-Load: 3,0,8\r\n" + idLine("r1"));
    for (qsizetype cut = 1; cut < late.size(); ++cut) {
        ScriptedExchanges test({success("r1", "first"), late.left(cut) + success("r2", "own.")});
        test.call("POST", "/once/x", "r1");
        const QByteArray response = test.call("POST", "/once/x", "r2");
        cr_assert(response.startsWith("HTTP/1.1 502"), "cut at %d: %s", static_cast<int>(cut),
                  response.constData());
        cr_assert_eq(test.requestCount(), 2, "it must not run twice");
    }
}

// Whatever follows a response without a length is its body, so the own response never comes.
Test(late_answer, without_a_length_ends_the_exchange_at_once)
{
    const QByteArray late = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\n"
                            "Lacewingmux-Server-Stamp: s\r\n\r\nfirst";
    ScriptedExchanges test({success("r1", "first"), late + success("r2", "own.")});
    test.call("POST", "/once/x", "r1");
    const QByteArray response = test.call("POST", "/once/x", "r2");
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
    cr_assert_eq(test.requestCount(), 2);
}

Test(late_answer, that_is_larger_than_the_bound_fails_the_exchange)
{
    const QByteArray large(qsizetype{2} * 1024 * 1024, 'x');
    ScriptedExchanges test({success("r1", "first"), success("r1", large) + success("r2", "own.")});
    test.call("POST", "/once/x", "r1");
    const QByteArray response = test.call("POST", "/once/x", "r2");
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
    cr_assert_eq(test.requestCount(), 2);
}

// Whether a response has a body depends on the method of the request that it answers.
Test(late_answer, with_a_body_does_not_answer_a_head_request_with_it)
{
    const QByteArray quoted = success("r2", {}, "Quoted: 1\r\n");
    ScriptedExchanges test({success("r1", quoted), success("r1", quoted) + success("r2", {})});
    test.call("GET", "/once/x", "r1");
    const QByteArray response = test.call("HEAD", "/once/x", "r2");
    cr_assert(!response.contains("Quoted"), "%s", response.constData());
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
}

Test(late_answer, to_a_head_request_does_not_swallow_the_next_one)
{
    constexpr int statedLength = 1000; // longer than the next response
    QByteArray headAnswer = success("r1", QByteArray(statedLength, 'x'));
    headAnswer.chop(statedLength);
    ScriptedExchanges test({headAnswer, headAnswer + success("r2", "own.")});
    RawCaller caller(test.fixture.gateway->port());
    caller.send(GatewayFixture::request("HEAD", "/once/x", "r1"));
    test.fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                                "the answer");
    const QByteArray response = test.call("POST", "/once/x", "r2");
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
    cr_assert_eq(test.requestCount(), 2);
}
