#include "backend/support/ClientFixture.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <criterion/criterion.h>

namespace lacewingmux {

using namespace std::chrono_literals;

BackendCall ClientFixture::call(const QUrl &server, const QString &requestId)
{
    BackendCall backendCall;
    backendCall.server = server;
    backendCall.method = "POST";
    backendCall.path = "/v1/chat/completions";
    backendCall.body = R"({"messages":[]})";
    backendCall.requestId = requestId;
    backendCall.timeout = 5s;
    return backendCall;
}

BackendCall ClientFixture::stream(const QUrl &server)
{
    BackendCall backendCall = call(server);
    backendCall.stream = true;
    return backendCall;
}

const BackendResponse &ClientFixture::askEngine(const BackendCall &call)
{
    return this->finish(this->engineClient.start(call, this->listener()));
}

const BackendResponse &ClientFixture::askService(const BackendCall &call)
{
    return this->finish(this->serviceClient.start(call, this->listener()));
}

QString ClientFixture::content() const
{
    const QJsonObject json = QJsonDocument::fromJson(this->response->body).object();
    const QJsonObject choice = json.value(QStringLiteral("choices")).toArray().at(0).toObject();
    const QJsonObject message = choice.value(QStringLiteral("message")).toObject();
    return message.value(QStringLiteral("content")).toString();
}

BackendRunListener ClientFixture::listener()
{
    this->response.reset();
    this->chunks.clear();
    return {[this](const QByteArray &bytes) { this->chunks += bytes; },
            [this](const BackendResponse &result) { this->response = result; }};
}

const BackendResponse &ClientFixture::finish(std::unique_ptr<BackendRun> run)
{
    this->loop.waitUntil([this] { return this->response.has_value(); }, "a response");
    run.reset();
    return *this->response;
}

void assertLost(const BackendResponse &response, const QByteArray &sent)
{
    cr_assert(response.failure == BackendFailure::ConnectionLost, "%s", sent.constData());
    cr_assert(response.executed == Executed::Unknown, "%s", sent.constData());
}

QByteArray withLength(const QByteArray &status, const QByteArray &id, const QByteArray &body)
{
    const QByteArray idField =
            id.isEmpty() ? QByteArray() : "Lacewingmux-Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + idField
           + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

} // namespace lacewingmux
