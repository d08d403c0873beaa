#include "backend/support/ClientFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QByteArray loadBody = R"({"running":1,"waiting":2,"instance":"i"})";

/** Reads the load of the server and waits for it. */
void readLoad(ClientFixture &f, const QUrl &server)
{
    std::optional<EngineLoad> load;
    f.engineClient.readLoad(server, 5s, [&load](const std::optional<EngineLoad> &result) {
        cr_assert(result.has_value());
        load = result;
    });
    f.loop.waitUntil([&load] { return load.has_value(); }, "the load");
    cr_assert_eq(load->waiting, 2);
}

} // namespace

// A second copy of an answer that names no request was taken for the answer to the next one.
Test(LateSecondAnswer, thatNamesNoRequestIsNotTheNextOnesAnswer)
{
    ClientFixture f;
    ScriptedServer server({{withLength("200 OK", {}, "first")},
                           {withLength("200 OK", {}, "second"), ConnectionEnd::Keep, true}});
    cr_assert(f.askService(f.call(server.url())).body == "first");
    const BackendResponse &response = f.askService(f.call(server.url(), QStringLiteral("r2")));
    cr_assert(response.completed() && response.body == "second", "%s", response.body.constData());
}

Test(LateSecondAnswer, isToldByTheIdOfItsRequest)
{
    ClientFixture f;
    ScriptedServer server({{withLength("200 OK", "%ID%", "first")},
                           {withLength("200 OK", "%ID%", "second"), ConnectionEnd::Keep, true}});
    cr_assert(f.askService(f.call(server.url())).body == "first");
    const BackendResponse &response = f.askService(f.call(server.url(), QStringLiteral("r2")));
    cr_assert_eq(server.connections, 1);
    cr_assert(response.failure == BackendFailure::MismatchedResponse);
    cr_assert(response.executed == Executed::Unknown);
}

// A refusal of an earlier attempt refused the next one, which the server had begun to run.
Test(LateSecondAnswer, thatRefusesDoesNotRefuseTheNextAttempt)
{
    ClientFixture f;
    ScriptedServer server({{withLength("503 Full", "%ID%", "full")},
                           {withLength("200 OK", "%ID%", "run"), ConnectionEnd::Keep, true}});
    cr_assert_eq(f.askService(f.call(server.url())).httpStatus, 503);
    const BackendResponse &response = f.askService(f.call(server.url()));
    cr_assert_eq(response.httpStatus, 200, "%d", response.httpStatus);
}

Test(LateSecondAnswer, reachesNoCallThatMayNotBeRepeated)
{
    ClientFixture f;
    ScriptedServer server({{withLength("503 Full", "%ID%", "full")},
                           {withLength("200 OK", "%ID%", "run"), ConnectionEnd::Keep, true}});
    BackendCall booking = f.call(server.url());
    cr_assert_eq(f.askService(booking).httpStatus, 503);
    booking.idempotent = false;
    cr_assert(f.askService(booking).body == "run");
    cr_assert_eq(server.connections, 2);
}

// The load of an engine was taken for a chat completion and recorded as its answer.
Test(LateSecondAnswer, toALoadRequestIsNoCompletion)
{
    for (const QByteArray &id : {QByteArray(), QByteArray("%ID%")}) {
        ClientFixture f;
        ScriptedServer server({{withLength("200 OK", id, loadBody)},
                               {withLength("200 OK", id, "{}"), ConnectionEnd::Keep, true}});
        readLoad(f, server.url());
        const BackendResponse &response = f.askEngine(f.call(server.url()));
        cr_assert(response.body != loadBody, "%s", id.constData());
        cr_assert(response.completed() == id.isEmpty());
    }
}

// The load of an engine was taken for the confirmation of an order that it had refused.
Test(LateSecondAnswer, toALoadRequestConfirmsNoOrder)
{
    for (const QByteArray &id : {QByteArray(), QByteArray("%ID%")}) {
        ClientFixture f;
        ScriptedServer server({{withLength("200 OK", id, loadBody)},
                               {withLength("409 Fenced", id, "{}"), ConnectionEnd::Keep, true}});
        readLoad(f, server.url());
        std::optional<OrderOutcome> outcome;
        f.engineClient.issueOrder(server.url(),
                                  {EngineOrderKind::DropCache, QStringLiteral("p"), 1},
                                  [&outcome](OrderOutcome result) { outcome = result; });
        f.loop.waitUntil([&outcome] { return outcome.has_value(); }, "the order");
        cr_assert(*outcome != OrderOutcome::Done, "%s", id.constData());
    }
}
