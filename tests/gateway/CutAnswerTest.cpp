#include "support/GatewayFixture.h"

#include <QElapsedTimer>

#include <criterion/criterion.h>

#include <chrono>

using namespace lacewingmux;

namespace {

QByteArray answerTo(const QByteArray &id, const QByteArray &body)
{
    HttpRequest request;
    request.fields.push_back({"Lacewingmux-Request-Id", id});
    return GatewayFixture::answer(request, body);
}

/** Returns what the caller of request r2 gets when the replica writes the text for it, on a
    connection that has carried request r1, and some time later the rest. */
QByteArray responseTo(const QByteArray &text, const QByteArray &rest = {},
                      std::chrono::milliseconds delay = std::chrono::milliseconds(5))
{
    int requests = 0;
    GatewayFixture fixture(1, [&](const auto &, const auto &exchange) {
        if (++requests == 1) {
            exchange.write(answerTo("r1", "first"));
            return;
        }
        exchange.writeNow(text);
        if (!rest.isEmpty())
            exchange.writeAfter(delay, rest);
    });
    QByteArray response;
    for (const char *id : {"r1", "r2"}) {
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", "/once/x", id, "Connection: close\r\n"));
        fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the response");
        response = caller.received();
    }
    cr_assert_eq(requests, 2, "it must not run twice");
    return response;
}

} // namespace

// A late copy behind an own answer that was cut must not fill up its body.
Test(cut_answer, is_not_completed_by_a_late_one)
{
    const QByteArray late = answerTo("r1", "first");
    const QByteArray own = answerTo("r2", QByteArray(1000, 'o'));
    for (qsizetype missing = 1; missing < late.size(); ++missing) {
        const QByteArray response = responseTo(own.chopped(missing) + late);
        cr_assert(response.startsWith("HTTP/1.1 502"), "%d bytes missing: %s",
                  static_cast<int>(missing), response.constData());
    }
}

// What the network splits arrives in parts: the body is complete before the late head is.
Test(cut_answer, is_not_completed_by_the_first_part_of_a_late_one)
{
    const QByteArray late = answerTo("r1", "first");
    const QByteArray own = answerTo("r2", QByteArray(1000, 'o'));
    for (const qsizetype missing : {1, 2, 5, 7, 8, 9, 12, 15, 16, 17, 18, 40, 100}) {
        for (const qsizetype more : {0, 3, 30}) {
            const QByteArray response = responseTo(own.chopped(missing) + late.left(missing + more),
                                                   late.mid(missing + more));
            cr_assert(response.startsWith("HTTP/1.1 502"), "%d bytes missing, %d more: %s",
                      static_cast<int>(missing), static_cast<int>(more), response.constData());
        }
    }
}

Test(cut_answer, is_not_completed_by_the_whole_of_a_late_one)
{
    const QByteArray late = answerTo("r1", "first");
    const QByteArray response =
            responseTo(answerTo("r2", QByteArray(1000, 'o')).chopped(late.size()) + late);
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
}

// A part that is lost on the way arrives after the retransmission.
Test(cut_answer, is_not_completed_by_a_late_one_whose_rest_is_sent_again)
{
    const QByteArray late = answerTo("r1", "first");
    const QByteArray own = answerTo("r2", QByteArray(1000, 'o'));
    for (const qsizetype missing : {12, 17, 30, 40, 60}) {
        const QByteArray response =
                responseTo(own.chopped(missing) + late.left(missing), late.mid(missing),
                           std::chrono::milliseconds(missing > 39 ? 400 : 200));
        cr_assert(response.startsWith("HTTP/1.1 502"), "%d bytes missing: %s",
                  static_cast<int>(missing), response.constData());
    }
}

// A body of many quotes must not hide the head behind them.
Test(cut_answer, with_many_quotes_is_not_completed_by_a_late_one)
{
    const QByteArray late = answerTo("r1", "first");
    const QByteArray quotes = QByteArray("\"GET / HTTP/1.1\" 200 ").repeated(70);
    for (const qsizetype missing : {40, 60}) {
        const QByteArray own = answerTo("r2", quotes + QByteArray(missing, 'o'));
        cr_assert(responseTo(own.chopped(missing) + late).startsWith("HTTP/1.1 502"));
        cr_assert(responseTo(own.chopped(missing) + late.left(missing)).startsWith("HTTP/1.1 502"));
    }
}

Test(whole_answer, with_bytes_behind_it_that_continue_no_head_is_passed_on)
{
    for (const char *behind : {"\r\n", "xyz", "TTQ"})
        cr_assert(responseTo(answerTo("r2", "endH") + behind).endsWith("endH"), "%s", behind);
}

Test(whole_answer, that_ends_with_an_answer_to_another_connections_request_is_passed_on)
{
    cr_assert(responseTo(answerTo("r2", "see " + answerTo("r3", "third"))).endsWith("third"));
}

Test(whole_answer, that_ends_like_the_beginning_of_one_is_passed_on)
{
    for (const char *end : {"H", "HTTP", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nServer: s\r\n"})
        cr_assert(responseTo(answerTo("r2", QByteArray("see ") + end)).endsWith(end));
}

Test(whole_answer, that_quotes_another_one_is_passed_on)
{
    const QByteArray quote = "see " + answerTo("r1", "first") + '.';
    cr_assert(responseTo(answerTo("r2", quote)).endsWith("first."));
    cr_assert(responseTo(answerTo("r2", quote) + answerTo("r1", "first")).endsWith("first."));
    cr_assert(responseTo(answerTo("r2", "quoted HTTP/1.1 200 OK")).endsWith("200 OK"));
    cr_assert(responseTo(answerTo("r2", "quoted HTTP/1.") + "more").endsWith("HTTP/1."));
}

// Discarded up to its length, it would swallow the own answer, and the caller would get no answer
// before its time is up.
Test(cut_late_answer, does_not_hold_up_the_call_whose_answer_follows)
{
    const QByteArray late = answerTo("r1", QByteArray(2000, 'l')).chopped(1500);
    QElapsedTimer elapsed;
    elapsed.start();
    const QByteArray response = responseTo(late + answerTo("r2", "second"));
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
    cr_assert_lt(elapsed.elapsed(), GatewayFixture::routeTimeout.count());
}
