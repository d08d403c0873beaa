#include "lacewingmux_http/server/CallerServer.h"

#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerConnection.h"
#include "lacewingmux_http/server/ParserSocket.h"
#include "lacewingmux_http/server/StatusText.h"

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace lacewingmux {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::chrono::milliseconds sweepInterval{500};

QByteArray methodName(QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Options:
        return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return {};
    }
}

CallerRequest toCallerRequest(const QHttpServerRequest &request)
{
    const QUrl url = request.url();
    CallerRequest converted;
    converted.method = methodName(request.method());
    converted.path = url.path(QUrl::FullyEncoded).toUtf8();
    converted.query = url.query(QUrl::FullyEncoded).toUtf8();
    const auto headers = request.headers();
    converted.headers.reserve(static_cast<std::size_t>(headers.size()));
    for (const auto &[name, value] : headers)
        converted.headers.push_back({name, value});
    converted.body = request.body();
    return converted;
}

/** The bytes of the refusal that a connection beyond the limit gets. */
QByteArray tooManyConnectionsAnswer()
{
    const LacewingmuxError error(ErrorKind::Overloaded,
                                 QStringLiteral("too many connections are open"));
    const QByteArray body = QJsonDocument(error.toJson()).toJson(QJsonDocument::Compact);
    QByteArray bytes = "HTTP/1.1 503 Service Unavailable\r\n";
    for (const HttpHeader &header : errorHeaders(error))
        bytes += header.name + ": " + header.value + "\r\n";
    bytes += "Content-Length: " + QByteArray::number(body.size()) + "\r\nConnection: close\r\n\r\n"
             + body;
    return bytes;
}

} // namespace

/** Accepts connections and lets the server wrap each before the HTTP library sees it. */
class CallerServer::Listener final : public QTcpServer
{
public:
    explicit Listener(CallerServer &acceptingServer)
        : QTcpServer(&acceptingServer)
        , server(acceptingServer)
    { }

    void add(ParserSocket *socket)
    {
        this->addPendingConnection(socket);
    }

protected:
    void incomingConnection(qintptr socketDescriptor) override
    {
        this->server.accept(*this, socketDescriptor);
    }

private:
    CallerServer &server;
};

CallerServer::CallerServer(TimerService &timerServiceToUse, MetricsRecorder &metricsRecorder,
                           const ServerLimits &limitsToHold, RequestHandler requestHandler)
    : timers(timerServiceToUse)
    , metrics(metricsRecorder)
    , serverLimits(limitsToHold)
    , handler(std::move(requestHandler))
    , sweep(timerServiceToUse.every(sweepInterval, [this] { this->enforceTimeLimits(); }))
{ }

CallerServer::~CallerServer()
{
    const auto open = std::exchange(this->connections, {});
    for (CallerConnection *connection : open)
        delete connection;
}

std::uint16_t CallerServer::listen(const QHostAddress &address, std::uint16_t port)
{
    auto *listener = new Listener(*this);
    listener->setListenBacklogSize(listenBacklog);
    if (!listener->listen(address, port))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot listen on %1 port %2: %3")
                                       .arg(address.toString())
                                       .arg(port)
                                       .arg(listener->errorString()));
    this->bind(listener);
    return listener->serverPort();
}

void CallerServer::stopListening()
{
    for (QTcpServer *listener : this->servers())
        listener->close();
}

bool CallerServer::isIdle() const
{
    return std::none_of(this->connections.begin(), this->connections.end(),
                        [](const CallerConnection *connection) { return connection->isBusy(); });
}

void CallerServer::handleCallerRequest(CallerRequest request,
                                       const std::shared_ptr<CallerAnswer> &answer)
{
    try {
        this->handler(std::move(request), answer);
    } catch (const LacewingmuxError &error) {
        answer->fail(error);
    }
}

void CallerServer::connectionClosed(CallerConnection &connection)
{
    this->connections.erase(&connection);
    this->metrics.set("lacewingmux_caller_connections", {}, this->connectionCount());
}

void CallerServer::countRefusal(ErrorKind kind)
{
    this->metrics.count("lacewingmux_refusals_total",
                        {{QStringLiteral("kind"), QString::fromLatin1(answerFor(kind).name)}}, 1);
}

bool CallerServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    static_cast<ParserSocket *>(socket)->connection().requestParsed(toCallerRequest(request));
    return true;
}

void CallerServer::missingHandler(const QHttpServerRequest &request, QTcpSocket *socket)
{
    Q_UNUSED(request);
    Q_UNUSED(socket);
}

void CallerServer::accept(Listener &listener, qintptr socketDescriptor)
{
    if (this->connectionCount() >= this->serverLimits.connections) {
        this->refuseConnection(socketDescriptor);
        return;
    }
    auto *connection = new CallerConnection(*this, socketDescriptor);
    this->connections.insert(connection);
    this->metrics.set("lacewingmux_caller_connections", {}, this->connectionCount());
    listener.add(connection->parserSocket());
}

void CallerServer::refuseConnection(qintptr socketDescriptor)
{
    this->countRefusal(ErrorKind::Overloaded);
    auto *socket = new QTcpSocket(this);
    socket->setSocketDescriptor(socketDescriptor);
    if (this->refusedOpen >= this->serverLimits.refusedConnections) {
        socket->abort();
        socket->deleteLater();
        return;
    }
    ++this->refusedOpen;
    QObject::connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
        --this->refusedOpen;
        socket->deleteLater();
    });
    // Closed only once the caller's request has come, or the answer would be lost with a reset.
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
        socket->readAll();
        socket->disconnectFromHost();
    });
    QObject::connect(this, &QObject::destroyed, socket, [socket] { socket->abort(); });
    socket->write(tooManyConnectionsAnswer());
    const auto cutOff = std::make_shared<TimerSubscription>();
    *cutOff = this->timers.after(this->serverLimits.linger, [socket] { socket->abort(); });
    QObject::connect(socket, &QObject::destroyed, socket, [cutOff] { cutOff->cancel(); });
}

void CallerServer::enforceTimeLimits()
{
    const auto now = this->timers.now();
    const std::vector<CallerConnection *> open(this->connections.begin(), this->connections.end());
    for (CallerConnection *connection : open) {
        if (this->connections.count(connection) > 0)
            connection->enforceTimeLimits(now);
    }
}

} // namespace lacewingmux
