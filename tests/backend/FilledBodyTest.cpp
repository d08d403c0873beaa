#include "backend/support/ClientFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <QList>

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

const QByteArray jsonBody = R"({"choices":[{"message":{"role":"assistant","content":")"
                            + QByteArray(200, 'o') + R"("}}]})";
const QByteArray textBody = "the text of r1: " + QByteArray(200, 'o');

/** Returns the answer to request r1, with a length or in one chunk. */
QByteArray answer(const QByteArray &type, const QByteArray &body, bool isChunked)
{
    const QByteArray head =
            "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\nContent-Type: " + type + "\r\n";
    if (isChunked)
        return head + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk(body) + lastChunk();
    return head + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

/** Asks for request r0, and for r1 over the same connection. Returns whether it was kept for r1; it
    is kept for a short time only. */
bool askOnOneConnection(ClientFixture &f, const QByteArray &first, const QByteArray &second)
{
    ScriptedServer server({{first}, {second, ConnectionEnd::Close}});
    cr_assert(f.askService(f.call(server.url(), QStringLiteral("r0"))).completed());
    f.askService(f.call(server.url()));
    return server.connections == 1;
}

const BackendResponse &askSecond(ClientFixture &f, const QByteArray &first,
                                 const QByteArray &second)
{
    constexpr int tries = 10;
    bool onOne = false;
    for (int number = 0; number < tries && !onOne; ++number)
        onOne = askOnOneConnection(f, first, second);
    cr_assert(onOne, "both came on one connection");
    return *f.response;
}

} // namespace

// A body that was cut and filled up by a late answer was taken for a whole one.
Test(FilledBody, ofJsonIsNoWholeAnswer)
{
    for (const bool isChunked : {false, true}) {
        const QByteArray own = answer("application/json", jsonBody, isChunked);
        for (const char *body : {"first", "{}", ""}) {
            const QByteArray late = withLength("200 OK", "r0", body);
            for (qsizetype missing = 1; missing < jsonBody.size(); ++missing) {
                ClientFixture f;
                const BackendResponse &response = askSecond(f, late, own.chopped(missing) + late);
                cr_assert(!response.completed() || response.body == jsonBody, "%ld missing: %s",
                          static_cast<long>(missing), response.body.constData());
            }
        }
    }
}

// A text that was cut and filled up by a late answer was taken for a whole one.
Test(FilledBody, ofTextIsNoWholeAnswer)
{
    for (const bool isChunked : {false, true}) {
        const QByteArray own = answer("text/plain", textBody, isChunked);
        for (const char *body : {"first", "{}", ""}) {
            const QByteArray late = withLength("200 OK", "r0", body);
            for (qsizetype missing = 1; missing < textBody.size(); ++missing) {
                ClientFixture f;
                const BackendResponse &response = askSecond(f, late, own.chopped(missing) + late);
                cr_assert(!response.completed() || response.body == textBody, "%ld missing: %s",
                          static_cast<long>(missing), response.body.constData());
            }
        }
    }
}

// The empty line behind a late head was taken for the end of a cut chunk, which the rest of the
// head had filled up, and the late chunks for those of the own answer.
Test(FilledBody, ofChunksDoesNotGoOnWithThoseOfALateAnswer)
{
    QByteArray late = answer("text/plain", "foreign\r\nlines\r\n", true);
    late.replace("Request-Id: r1", "Request-Id: r0");
    for (const QByteArray &type : {QByteArray("text/plain"), QByteArray("application/json")}) {
        const QByteArray &whole = type == "text/plain" ? textBody : jsonBody;
        const QByteArray own = answer(type, whole, true);
        for (qsizetype missing = 1; missing < whole.size(); ++missing) {
            ClientFixture f;
            const BackendResponse &response = askSecond(f, late, own.chopped(missing) + late);
            cr_assert(!response.completed() || response.body == whole, "%ld missing: %s",
                      static_cast<long>(missing), response.body.constData());
        }
    }
}

// Guards against a sound answer that fails because it quotes the head of an answer, or is no JSON.
Test(FilledBody, thatQuotesAHeadIsWhole)
{
    const QByteArray head = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n";
    const QByteArray marked = withLength("200 OK", "r7", "of another connection");
    const QList<QByteArray> bodies{"see " + head,
                                   "it speaks HTTP/1.1",
                                   "it said HTTP/1.1 200 OK",
                                   "{\"a\":\"HTTP/1.1 200 OK\"}",
                                   "a quote: " + marked,
                                   "no json",
                                   "H"};
    for (const bool isChunked : {false, true}) {
        for (const QByteArray &body : bodies) {
            ClientFixture f;
            const BackendResponse &response = askSecond(f, withLength("200 OK", "r0", "first"),
                                                        answer("text/plain", body, isChunked));
            cr_assert(response.completed(), "%s", body.constData());
            cr_assert(response.body == body);
        }
        ClientFixture f;
        const QByteArray broken = "{\"a\":";
        cr_assert(askSecond(f, withLength("200 OK", "r0", "first"),
                            answer("application/json", broken, isChunked))
                          .body
                  == broken);
    }
}
