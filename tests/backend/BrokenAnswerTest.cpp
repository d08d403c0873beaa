#include "backend/support/ClientFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

const QByteArray idHead = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\n";
const QByteArray jsonHead = idHead + "Content-Type: application/json\r\n\r\n";
const QByteArray textHead = idHead + "Content-Type: text/plain\r\n\r\n";

} // namespace

// An answer without a length that ends behind its head was taken for a whole, empty one.
Test(EmptyAnswer, isNoWholeAnswer)
{
    for (const QByteArray &head : {jsonHead, textHead, QByteArray("HTTP/1.1 200 OK\r\n\r\n"),
                                   QByteArray("HTTP/1.0 500 No\r\n\r\n")}) {
        ClientFixture f;
        ScriptedServer server({{head, ConnectionEnd::Close}});
        assertLost(f.askService(f.call(server.url())), head);
        assertLost(f.askEngine(f.call(server.url())), head);
    }
}

Test(EmptyAnswer, thatNeedsNoBodyIsWhole)
{
    ClientFixture f;
    ScriptedServer server({{"HTTP/1.1 204 No Content\r\n\r\n", ConnectionEnd::Close},
                           {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ConnectionEnd::Close},
                           {"HTTP/1.1 200 OK\r\n\r\n", ConnectionEnd::Close}});
    cr_assert(f.askService(f.call(server.url())).completed());
    cr_assert(f.askService(f.call(server.url())).completed());
    BackendCall head = f.call(server.url());
    head.method = "HEAD";
    cr_assert(f.askService(head).completed());
}

// Guards against a cut head that passes for the head of an answer without a length.
Test(CutHead, isNeverAnAnswer)
{
    const QByteArray whole = withLength("200 OK", "r1", "body");
    const qsizetype headBytes = whole.indexOf("\r\n\r\n") + 4;
    for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        for (qsizetype length = 0; length < headBytes; ++length) {
            ClientFixture f;
            ScriptedServer server({{whole.left(length), end}});
            assertLost(f.askService(f.call(server.url())), whole.left(length));
        }
    }
}

Test(CutBody, isALostConnection)
{
    const QByteArray chunked =
            idHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n2\r\nof\r\n0\r\n\r\n";
    for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        for (const QByteArray &whole : {withLength("200 OK", "r1", "body"), chunked}) {
            const qsizetype headBytes = whole.indexOf("\r\n\r\n") + 4;
            for (qsizetype length = headBytes; length < whole.size(); ++length) {
                ClientFixture f;
                ScriptedServer server({{whole.left(length), end}});
                assertLost(f.askService(f.call(server.url())), whole.left(length));
            }
        }
    }
}

Test(CutBody, withoutALengthIsLostWithAReset)
{
    ClientFixture f;
    ScriptedServer server({{textHead + "bo", ConnectionEnd::Reset}});
    assertLost(f.askService(f.call(server.url())), "a reset");
}

// The end of the connection was taken for the end of the JSON document.
Test(CutBody, ofJsonWithoutALengthIsNoWholeAnswer)
{
    const QByteArray whole = R"({"choices":[{"message":{"role":"assistant","content":"a b"}}]})";
    for (qsizetype length = 0; length < whole.size(); ++length) {
        ClientFixture f;
        ScriptedServer server({{jsonHead + whole.left(length), ConnectionEnd::Close}});
        assertLost(f.askEngine(f.call(server.url())), whole.left(length));
    }
    for (const QByteArray &complete : {whole + '\n', QByteArray("true"), QByteArray("[1.5]")}) {
        ClientFixture f;
        ScriptedServer server({{jsonHead + complete, ConnectionEnd::Close}});
        cr_assert(f.askEngine(f.call(server.url())).completed(), "%s", complete.constData());
        cr_assert(f.response->body == complete);
    }
}

// A second answer was read as part of a body that ends with its connection.
Test(AnswerBehindAnother, isNoPartOfItsBody)
{
    for (const QByteArray &head : {textHead, jsonHead}) {
        for (const QByteArray &id : {QByteArray("r0"), QByteArray("r1")}) {
            ClientFixture f;
            const QByteArray both = head + R"({"a":1})" + withLength("200 OK", id, "foreign");
            ScriptedServer server({{both, ConnectionEnd::Close}});
            assertLost(f.askService(f.call(server.url())), both);
        }
    }
}

Test(AnswerBehindAnother, mayBeQuotedInABody)
{
    ClientFixture f;
    const QByteArray quote = "see HTTP/1.1 200 OK\r\nServer: x\r\n\r\n";
    ScriptedServer server({{textHead + quote, ConnectionEnd::Close}});
    cr_assert(f.askService(f.call(server.url())).completed());
    cr_assert(f.response->body == quote);
}
