#include "http/FrontFixture.h"

#include "lacewingmux_http/server/CallerAnswer.h"

#include <QHostAddress>

namespace lacewingmux::test {

namespace {

std::shared_ptr<const Configuration> testConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = 1;
    Route assistant;
    assistant.name = QStringLiteral("assistant");
    Route booking;
    booking.name = QStringLiteral("booking");
    booking.kind = RouteKind::Service;
    booking.idempotent = false;
    Route status;
    status.name = QStringLiteral("status");
    status.kind = RouteKind::Service;
    status.open = true;
    Route reserved;
    reserved.name = QStringLiteral("reserved");
    reserved.kind = RouteKind::Service;
    reserved.teams = {QStringLiteral("another")};
    Route lookup;
    lookup.name = QStringLiteral("lookup");
    lookup.kind = RouteKind::Service;
    configuration->routes = {assistant, booking, status, reserved, lookup};
    return configuration;
}

} // namespace

FrontFixture::FrontFixture()
    : front((ensureApplication(), timers), metrics, gate, owner, sent,
            {[this](const QByteArray &key) {
                 AuthenticationResult result;
                 result.team = QStringLiteral("one");
                 result.keyId = QStringLiteral("key-1");
                 result.accepted = key == validKey && this->withdrawnKeys.count(key) == 0;
                 if (this->withdrawnKeys.count(key) > 0)
                     result.refusal = ErrorKind::KeyWithdrawn;
                 return result;
             },
             {},
             [] { return QByteArray("some_metric 1\n"); },
             {}})
    , server(timers, metrics, {},
             [this](CallerRequest request, const std::shared_ptr<CallerAnswer> &answer) {
                 this->front.handle(std::move(request), answer);
             })
    , port(server.listen(QHostAddress::LocalHost, 0))
{
    this->front.adoptConfiguration(testConfiguration());
}

QByteArray withKey(const QByteArray &method, const QByteArray &path, const QByteArray &body,
                   const QByteArray &headers)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + validKey
           + "\r\n" + headers + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
           + body;
}

QByteArray modelCall(bool stream)
{
    return QByteArray(R"({"route":"assistant","messages":[],"stream":)")
           + (stream ? "true}" : "false}");
}

} // namespace lacewingmux::test
