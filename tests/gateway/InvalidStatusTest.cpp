#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"

#include <QElapsedTimer>

#include <criterion/criterion.h>

using namespace lacewingmux;

// Guards against a status that HTTP does not have (RFC 9110, section 15) reaching the caller, and
// against one below 200 being taken for an interim answer, so that the caller waits for its
// timeout.

namespace {

using Exchange = ScriptedReplica::Exchange;

const QList<QByteArray> invalidStatuses{"000", "001", "099", "600", "999"};
const QList<QByteArray> framings{"", "Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n",
                                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};

/** Returns a response with the status; without a framing its body ends with the connection. */
QByteArray responseWith(const QByteArray &status, const QByteArray &framing, const QByteArray &id)
{
    return "HTTP/1.1 " + status + " Odd\r\nLacewingmux-Request-Id: " + id
           + "\r\nLacewingmux-Server-Stamp: stamp\r\n"
           + (framing.isEmpty() ? QByteArray("\r\nbody") : framing);
}

} // namespace

Test(invalid_status, is_no_answer)
{
    for (const QByteArray &status : invalidStatuses) {
        for (const QByteArray &framing : framings) {
            for (const bool isHead : {false, true}) {
                ResponseDecoder decoder(isHead);
                decoder.append(responseWith(status, framing, "r1"));
                cr_assert(decoder.state() == DecodeState::Malformed, "%s", status.constData());
            }
        }
    }
    for (const char *status : {"200", "299", "404", "599"}) {
        ResponseDecoder decoder(false);
        decoder.append(responseWith(status, framings.at(1), "r1"));
        cr_assert(decoder.state() == DecodeState::Complete, "%s", status);
    }
}

Test(invalid_status, is_answered_with_a_failure_at_once)
{
    for (const QByteArray &status : invalidStatuses) {
        for (const QByteArray &framing : framings) {
            for (const QByteArray path : {"/once/x", "/stream/x"}) {
                GatewayFixture fixture(1, [&](const HttpRequest &request,
                                              const Exchange &exchange) {
                    exchange.write(responseWith(
                            status, framing, fieldValue(request.fields, "Lacewingmux-Request-Id")));
                    exchange.close();
                });
                QElapsedTimer time;
                time.start();
                RawCaller caller(fixture.gateway->port());
                caller.send(GatewayFixture::request("POST", path, "r1"));
                fixture.loop.waitUntil([&] { return !caller.received().isEmpty(); },
                                       "the response");
                cr_assert(caller.received().startsWith("HTTP/1.1 502"), "%s",
                          caller.received().constData());
                cr_assert_lt(time.elapsed(), GatewayFixture::routeTimeout.count() / 2);
            }
        }
    }
}
