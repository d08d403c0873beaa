#include "http/FrontFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

Test(RequestFront, mapsEachRequestToItsOperation)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    const QByteArray program = "/v1/programs/" + programId;
    caller.send(withKey("POST", "/v1/programs") + withKey("POST", program + "/calls/3", modelCall())
                + withKey("GET", program + "/calls/3") + withKey("GET", program + "/history")
                + withKey("DELETE", program)
                + withKey("POST", "/v1/chat/completions", R"({"model":"assistant","messages":[]})")
                + withKey("POST", "/v1/chat/completions",
                          R"({"model":"assistant","messages":[],"stream":true})",
                          "Lacewingmux-Program: " + programId + "\r\nLacewingmux-Call: 4\r\n")
                + withKey("PUT", "/v1/services/booking/a%2Fb/c?d=e", "x",
                          "Idempotency-Key: k1\r\nX-Own: 1\r\nLacewingmux-Timeout-Ms: 1500\r\n"));
    cr_assert(fixture.waitForAsked(8));
    const auto &asked = fixture.owner.asked;
    cr_assert(asked[0].request.operation == OwnerOperation::OpenProgram);
    cr_assert(asked[1].request.operation == OwnerOperation::Call);
    cr_assert_eq(asked[1].request.callNumber, 3U);
    cr_assert(asked[1].request.programId == QString::fromLatin1(programId));
    cr_assert(asked[2].request.operation == OwnerOperation::FetchCall);
    cr_assert(asked[3].request.operation == OwnerOperation::FetchHistory);
    cr_assert(asked[4].request.operation == OwnerOperation::EndProgram);
    cr_assert(asked[5].request.operation == OwnerOperation::ChatCompletion);
    cr_assert(asked[5].request.route == QStringLiteral("assistant"));
    cr_assert(asked[6].request.operation == OwnerOperation::Call);
    cr_assert_eq(asked[6].request.callNumber, 4U);
    cr_assert(asked[6].request.stream);
    const OwnerRequest &service = asked[7].request;
    cr_assert(service.operation == OwnerOperation::ServiceCall);
    cr_assert_eq(service.method, QByteArray("PUT"));
    cr_assert_eq(service.path, QByteArray("/a%2Fb/c?d=e"));
    cr_assert(service.idempotencyKey == QStringLiteral("k1"));
    cr_assert_eq(service.timeout.count(), 1500);
    cr_assert(service.headers == std::vector<HttpHeader>({{"X-Own", "1"}}));
    for (const auto &one : asked)
        cr_assert(one.request.team == QStringLiteral("one"));
    // All but the end of a program, which releases what it holds, take a token.
    cr_assert_eq(fixture.gate.teams.size(), 7U);
}

Test(RequestFront, refusesInTheOrderRouteKeyPermissionRate)
{
    FrontFixture fixture;
    fixture.gate.decision = {false, ErrorKind::RateLimited, 2500ms};
    const auto answerTo = [&fixture](const QByteArray &request) {
        RawCaller caller(fixture.port);
        caller.send(request);
        cr_assert(caller.waitFor("\"executed\":\"no\""));
        return caller.received();
    };
    cr_assert(answerTo("GET /v1/services/none/ HTTP/1.1\r\n\r\n").contains("unknownRoute"));
    cr_assert(answerTo("GET /elsewhere HTTP/1.1\r\n\r\n").contains("unknownRoute"));
    cr_assert(answerTo("GET /v1/services/lookup/ HTTP/1.1\r\n\r\n").contains("unauthenticated"));
    cr_assert(answerTo("GET /v1/services/lookup/ HTTP/1.1\r\nx-api-key: wrong-key\r\n\r\n")
                      .contains("unauthenticated"));
    cr_assert(answerTo(withKey("GET", "/v1/services/reserved/")).contains("notPermitted"));
    cr_assert(answerTo(withKey("GET", "/v1/programs/zz/history")).contains("unknownProgram"));
    cr_assert(answerTo(withKey("POST", "/v1/programs/" + programId + "/calls/0", modelCall()))
                      .contains("malformedRequest"));
    cr_assert(answerTo(withKey("POST", "/v1/programs/" + programId + "/calls/1", "{"))
                      .contains("malformedRequest"));
    cr_assert(answerTo(withKey("POST", "/v1/services/booking/")).contains("Idempotency-Key"));
    cr_assert(fixture.gate.teams.empty());
    const QByteArray limited = answerTo(withKey("GET", "/v1/services/lookup/"));
    cr_assert(limited.startsWith("HTTP/1.1 429 "));
    cr_assert(limited.contains("\"retryAfterMs\":2500"));
    cr_assert(limited.contains("Retry-After: 3\r\n"));
    cr_assert(fixture.owner.asked.empty());
}

Test(RequestFront, servesOpenRoutesWithoutAKey)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET /v1/services/status/now HTTP/1.1\r\n\r\n");
    cr_assert(fixture.waitForAsked(1));
    cr_assert(fixture.owner.asked[0].request.team.isEmpty());
    cr_assert(fixture.gate.teams.empty());
    fixture.owner.answer(0, "{}");
    cr_assert(caller.waitFor("Content-Length: 2\r\n"));
}

Test(RequestFront, streamsAndMarksABrokenStream)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send(withKey("POST", "/v1/programs/" + programId + "/calls/1", modelCall(true)));
    cr_assert(fixture.waitForAsked(1));
    const ResponseSink sink = fixture.owner.asked[0].sink;
    sink.begin(200, {{"Content-Type", "text/event-stream"}});
    sink.chunk("data: one\n\n");
    cr_assert(caller.waitFor("data: one"));
    sink.fail(LacewingmuxError(ErrorKind::BackendFailed, QStringLiteral("broken"),
                               Executed::Unknown));
    cr_assert(caller.waitForClose());
    cr_assert_eq(caller.count("event: error\ndata: {\"error\""), 1);
    cr_assert_not(caller.received().endsWith("0\r\n\r\n"));
    sink.chunk("data: late\n\n");
    sink.end();
    cr_assert(fixture.front.isIdle());
}

Test(RequestFront, turnsAFailureInTheMiddleOfAWholeAnswerIntoAnError)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send(withKey("POST", "/v1/programs/" + programId + "/calls/1", modelCall()));
    cr_assert(fixture.waitForAsked(1));
    const ResponseSink sink = fixture.owner.asked[0].sink;
    sink.begin(200, {});
    sink.chunk("half");
    sink.fail(LacewingmuxError(ErrorKind::BackendFailed, QStringLiteral("broken")));
    cr_assert(caller.waitFor("backendFailed"));
    cr_assert(caller.received().startsWith("HTTP/1.1 502 "));
    cr_assert_not(caller.received().contains("half"));
}

Test(RequestFront, tellsTheOwnerThatTheCallerHasGone)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send(withKey("POST", "/v1/programs/" + programId + "/calls/1", modelCall()));
    cr_assert(fixture.waitForAsked(1));
    caller.close();
    cr_assert(waitUntil([&fixture] { return fixture.owner.asked[0].callerGone; }));
    fixture.owner.answer(0, "late");
    cr_assert(fixture.front.isIdle());
}

Test(RequestFront, endsWhatAWithdrawnKeyHasOpen)
{
    FrontFixture fixture;
    RawCaller streaming(fixture.port);
    streaming.send(withKey("POST", "/v1/programs/" + programId + "/calls/1", modelCall(true)));
    cr_assert(fixture.waitForAsked(1));
    fixture.owner.asked[0].sink.begin(200, {{"Content-Type", "text/event-stream"}});
    fixture.owner.asked[0].sink.chunk("data: one\n\n");
    cr_assert(streaming.waitFor("data: one"));
    fixture.gate.hold = true;
    RawCaller waiting(fixture.port);
    waiting.send(withKey("GET", "/v1/services/lookup/"));
    cr_assert(waitUntil([&fixture] { return fixture.gate.held.size() == 1; }));

    fixture.withdrawnKeys.insert(validKey);
    fixture.front.withdrawKey(QStringLiteral("another"));
    cr_assert_not(fixture.front.isIdle());
    fixture.front.withdrawKey(QStringLiteral("key-1"));
    cr_assert(fixture.front.isIdle());
    cr_assert(streaming.waitForClose());
    cr_assert(streaming.received().contains("\"executed\":\"unknown\",\"kind\":\"keyWithdrawn\""));
    cr_assert(waiting.waitFor("\"executed\":\"no\",\"kind\":\"keyWithdrawn\""));
    waiting.send(withKey("GET", "/v1/services/lookup/"));
    cr_assert(waitUntil([&waiting] { return waiting.count("keyWithdrawn") == 2; }));
    cr_assert(fixture.owner.asked[0].callerGone);
    fixture.gate.held[0]({true, ErrorKind::RateLimited, {}});
    cr_assert_eq(fixture.owner.asked.size(), 1U);
}

Test(RequestFront, checksTheKeyAnewOnAKeptConnection)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send(withKey("GET", "/v1/services/lookup/"));
    cr_assert(fixture.waitForAsked(1));
    fixture.owner.answer(0, "<first>");
    cr_assert(caller.waitFor("<first>"));
    fixture.withdrawnKeys.insert(validKey);
    caller.send(withKey("GET", "/v1/services/lookup/"));
    cr_assert(caller.waitFor("keyWithdrawn"));
    cr_assert_eq(fixture.owner.asked.size(), 1U);
}

Test(RequestFront, doesNotPromiseNotRunForARequestItHasSentBefore)
{
    FrontFixture fixture;
    const QByteArray call = withKey("POST", "/v1/programs/" + programId + "/calls/1", modelCall());
    RawCaller first(fixture.port);
    first.send(call);
    cr_assert(fixture.waitForAsked(1));
    first.close();
    fixture.gate.decision.admitted = false;
    RawCaller second(fixture.port);
    second.send(call);
    cr_assert(second.waitFor("\"executed\":\"unknown\",\"kind\":\"rateLimited\""));
}

Test(RequestFront, answersForAnOwnerThatStaysSilent)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send(withKey("GET", "/v1/services/lookup/", {}, "Lacewingmux-Timeout-Ms: 1000\r\n"));
    cr_assert(fixture.waitForAsked(1));
    fixture.timers.advance(10s);
    cr_assert(caller.waitFor("\"executed\":\"unknown\",\"kind\":\"backendTimeout\""));
    cr_assert(fixture.owner.asked[0].callerGone);
}

Test(RequestFront, turnsUnreadyWhenItDrains)
{
    FrontFixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET /healthz HTTP/1.1\r\n\r\nGET /readyz HTTP/1.1\r\n\r\n"
                "GET /metrics HTTP/1.1\r\n\r\n");
    cr_assert(caller.waitFor("some_metric 1"));
    cr_assert_eq(caller.count("HTTP/1.1 200 OK"), 3);
    fixture.front.beginDrain();
    caller.send("GET /readyz HTTP/1.1\r\n\r\n");
    cr_assert(caller.waitFor("HTTP/1.1 503 "));
    cr_assert(caller.received().contains("shuttingDown"));
}
