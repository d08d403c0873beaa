#include "backend/support/ClientFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

const QByteArray idHead = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\n";
const QByteArray streamHead = idHead + "Content-Type: text/event-stream\r\n\r\n";

QByteArray event(int sequence, const QByteArray &text)
{
    return R"(data: {"id":"c1","sequence":)" + QByteArray::number(sequence)
           + R"(,"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

QByteArray unnumberedEvent(const QByteArray &text)
{
    return R"(data: {"id":"c1","choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

const QByteArray usageEvent =
        R"(data: {"id":"c1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}})"
        "\n\n";
const QByteArray endEvent = "data: [DONE]\n\n";

} // namespace

// The head of a second answer and its events were passed on as events of the stream.
Test(AnswerBehindAnother, isNoPartOfItsStream)
{
    const QByteArray second = withLength("200 OK", "r0", unnumberedEvent("foreign") + endEvent);
    for (const QByteArray &own : {event(0, "a"), unnumberedEvent("a"), event(0, "a").chopped(9)}) {
        ClientFixture f;
        ScriptedServer server({{streamHead + own + second, ConnectionEnd::Close},
                               {withLength("404 Not Found", "r1", "{}"), ConnectionEnd::Close}});
        assertLost(f.askEngine(f.stream(server.url())), own);
        cr_assert(own.startsWith(f.chunks), "%s", f.chunks.constData());
    }
}

Test(StreamWithoutItsEnd, isNoWholeAnswer)
{
    const QByteArray whole = unnumberedEvent("a") + unnumberedEvent("b") + usageEvent + endEvent;
    for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        for (qsizetype length = 0; length < whole.size(); ++length) {
            ClientFixture f;
            const QByteArray chunk = whole.left(length);
            ScriptedServer server({{streamHead + chunk, end}});
            assertLost(f.askEngine(f.stream(server.url())), chunk);
            cr_assert(whole.startsWith(f.chunks)
                      && (f.chunks.isEmpty() || f.chunks.endsWith("\n\n")));
        }
    }
}

// Guards against part of an event that is joined to the answer that resumes the stream.
Test(ResumedStream, joinsNothingOfTheBrokenAnswer)
{
    const QByteArray first = event(0, "a") + event(1, "b");
    const QByteArray rest = event(2, "c") + usageEvent + endEvent;
    for (qsizetype length = event(0, "a").size(); length < first.size() + rest.size() - 1;
         length += 3) {
        const QByteArray all = first + rest;
        ClientFixture f;
        ScriptedServer server({{streamHead + all.left(length), ConnectionEnd::Close},
                               {streamHead + all, ConnectionEnd::Close}});
        const BackendResponse &response = f.askEngine(f.stream(server.url()));
        cr_assert(response.completed(), "%ld", long(length));
        cr_assert(f.content() == QStringLiteral("abc"), "%s", qPrintable(f.content()));
        cr_assert_eq(response.outputTokens, 2);
        cr_assert_eq(f.chunks.count("\"sequence\""), 3);
        cr_assert_eq(f.chunks.count("[DONE]"), 1);
    }
}

Test(ResumedStream, withAGapIsBrokenOff)
{
    ClientFixture f;
    ScriptedServer server({{streamHead + event(0, "a"), ConnectionEnd::Close},
                           {streamHead + event(2, "c") + endEvent, ConnectionEnd::Close}});
    assertLost(f.askEngine(f.stream(server.url())), "a gap");
    cr_assert(f.chunks == event(0, "a"));
}

Test(ResumedStream, answeredWithAnErrorIsBrokenOff)
{
    for (const char *status : {"404 Not Found", "410 Gone", "429 Wait", "500 No", "503 Full"}) {
        ClientFixture f;
        ScriptedServer server({{streamHead + event(0, "a"), ConnectionEnd::Close},
                               {withLength(status, "r1", endEvent), ConnectionEnd::Close}});
        assertLost(f.askEngine(f.stream(server.url())), status);
        cr_assert(f.chunks == event(0, "a"));
    }
}

// A completion that answers the request to resume was passed on behind the events.
Test(ResumedStream, answeredWithoutAStreamIsBrokenOff)
{
    for (const char *body : {"{\"choices\":[]}\n\n", "<html>\n\n</html>\n\n", "data: [DONE]\n\n"}) {
        ClientFixture f;
        const QByteArray whole = idHead + "Content-Type: application/json\r\nContent-Length: "
                                 + QByteArray::number(qstrlen(body)) + "\r\n\r\n" + body;
        ScriptedServer server({{streamHead + event(0, "a"), ConnectionEnd::Close},
                               {whole, ConnectionEnd::Close}});
        assertLost(f.askEngine(f.stream(server.url())), body);
        cr_assert(f.chunks == event(0, "a"), "%s", f.chunks.constData());
    }
}

// Events without a number, as of a run from the beginning, were passed on behind numbered ones.
Test(ResumedStream, withoutNumbersIsBrokenOff)
{
    ClientFixture f;
    ScriptedServer server({{streamHead + event(0, "a") + event(1, "b"), ConnectionEnd::Close},
                           {streamHead + unnumberedEvent("a") + unnumberedEvent("b")
                                    + unnumberedEvent("c") + usageEvent + endEvent,
                            ConnectionEnd::Close}});
    assertLost(f.askEngine(f.stream(server.url())), "no numbers");
    cr_assert(f.chunks == event(0, "a") + event(1, "b"), "%s", f.chunks.constData());
}

// Events of another run under the same request id were passed on behind those of the first.
Test(ResumedStream, ofAnotherCompletionIsBrokenOff)
{
    ClientFixture f;
    QByteArray other = event(0, "x") + event(1, "y") + endEvent;
    other.replace("\"c1\"", "\"c2\"");
    ScriptedServer server({{streamHead + event(0, "a"), ConnectionEnd::Close},
                           {streamHead + other, ConnectionEnd::Close}});
    assertLost(f.askEngine(f.stream(server.url())), other);
    cr_assert(f.chunks == event(0, "a"), "%s", f.chunks.constData());
}
