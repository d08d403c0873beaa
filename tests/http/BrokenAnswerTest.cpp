#include "http/FrontFixture.h"
#include "http/HttpTestTools.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;

namespace {

const LacewingmuxError broken(ErrorKind::BackendFailed, QStringLiteral("broken"),
                              Executed::Unknown);

QByteArray streamRequest(const QByteArray &version)
{
    QByteArray request = withKey("POST", "/v1/programs/" + programId + "/calls/1", modelCall(true));
    return request.replace("HTTP/1.1", version);
}

} // namespace

// To a caller without chunks, the close of a stream that broke off looked like its end.
Test(BrokenStream, looksWholeToNoCaller)
{
    for (const char *version : {"HTTP/1.0", "HTTP/1.1"}) {
        FrontFixture fixture;
        RawCaller caller(fixture.port);
        caller.watchForReset();
        caller.send(streamRequest(version));
        cr_assert(fixture.waitForAsked(1));
        const ResponseSink sink = fixture.owner.asked[0].sink;
        sink.begin(200, {{"Content-Type", "text/event-stream"}});
        sink.chunk("data: one\n\n");
        cr_assert(caller.waitFor("data: one"));
        sink.fail(broken);
        cr_assert(caller.waitForClose());
        const bool isChunked = caller.received().contains("Transfer-Encoding: chunked");
        cr_assert(isChunked ? !caller.received().contains("\r\n0\r\n\r\n") : caller.wasReset(),
                  "%s", version);
    }
}

Test(BrokenStream, isToldFromAWholeOneWithoutChunks)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.watchForReset();
    caller.send(streamRequest("HTTP/1.0"));
    cr_assert(fixture.waitForAsked(1));
    const ResponseSink sink = fixture.owner.asked[0].sink;
    sink.begin(200, {{"Content-Type", "text/event-stream"}});
    sink.chunk("data: [DONE]\n\n");
    sink.end();
    cr_assert(caller.waitForClose());
    cr_assert(caller.received().endsWith("data: [DONE]\n\n"));
    cr_assert_not(caller.wasReset());
}

// Guards against a pipelined answer that is read as the rest of one that broke off.
Test(BrokenStream, isFollowedByNoPipelinedAnswer)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send(streamRequest("HTTP/1.1")
                + withKey("POST", "/v1/programs/" + programId + "/calls/2", modelCall()));
    cr_assert(fixture.waitForAsked(2));
    const ResponseSink first = fixture.owner.asked[0].sink;
    first.begin(200, {{"Content-Type", "text/event-stream"}});
    first.chunk("data: one\n\n");
    fixture.owner.answer(1, "<second>");
    first.fail(broken);
    cr_assert(caller.waitForClose());
    cr_assert_not(caller.received().contains("<second>"));
    cr_assert(fixture.front.isIdle());
}
