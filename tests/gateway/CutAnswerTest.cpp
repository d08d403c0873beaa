#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

QByteArray answerTo(const QByteArray &id, const QByteArray &body)
{
    HttpRequest request;
    request.fields.push_back({"Lacewingmux-Request-Id", id});
    return GatewayFixture::answer(request, body);
}

/** Returns what the caller of request r2 gets when the replica writes the text for it, on a
    connection that has carried request r1. */
QByteArray responseTo(const QByteArray &text)
{
    int requests = 0;
    GatewayFixture fixture(1, [&](const auto &, const auto &exchange) {
        exchange.write(++requests == 1 ? answerTo("r1", "first") : text);
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

Test(whole_answer, that_quotes_another_one_is_passed_on)
{
    const QByteArray quote = "see " + answerTo("r1", "first") + '.';
    cr_assert(responseTo(answerTo("r2", quote)).endsWith("first."));
    cr_assert(responseTo(answerTo("r2", quote) + answerTo("r1", "first")).endsWith("first."));
    cr_assert(responseTo(answerTo("r2", "quoted HTTP/1.1 200 OK")).endsWith("200 OK"));
    cr_assert(responseTo(answerTo("r2", "quoted HTTP/1.") + "more").endsWith("HTTP/1."));
}
