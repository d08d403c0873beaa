#include "lacewingmux_gateway/ingress/IngressServer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <utility>
#include <vector>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds timeoutCheckInterval{250}; // small against limits of seconds
constexpr int acceptBacklog = 512;                             // overflow delays callers by seconds

} // namespace

IngressServer::IngressServer(const QHostAddress &address, std::uint16_t port,
                             std::size_t connectionLimit, qsizetype memoryLimit,
                             TimerService &timerService, RequestHandler requestHandler,
                             DisconnectHandler disconnectHandler)
    : timers(timerService)
    , handleRequest(std::move(requestHandler))
    , handleCallerDisconnected(std::move(disconnectHandler))
    , maximumConnections(connectionLimit)
    , memory(std::make_shared<MemoryAccount>(memoryLimit))
    , server(std::make_unique<QTcpServer>())
{
    this->server->setListenBacklogSize(acceptBacklog);
    this->server->setMaxPendingConnections(acceptBacklog);
    QObject::connect(this->server.get(), &QTcpServer::newConnection, this->server.get(),
                     [this] { this->acceptPending(); });
    if (!this->server->listen(address, port))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot listen for callers on %1:%2: %3")
                                       .arg(address.toString())
                                       .arg(port)
                                       .arg(this->server->errorString()));
    this->timeoutTimer =
            this->timers.every(timeoutCheckInterval, [this] { this->enforceTimeouts(); });
}

IngressServer::~IngressServer() = default;

void IngressServer::setLimits(const HttpLimits &httpLimits)
{
    if (this->limits == httpLimits)
        return;
    this->limits = httpLimits;
    for (const auto &[key, connection] : this->connections)
        connection->setLimits(httpLimits);
}

void IngressServer::stopListening()
{
    this->acceptPending();
    this->server->close();
}

void IngressServer::closeConnectionsAfterResponse()
{
    this->closingAfterResponse = true;
    for (const auto &[key, connection] : this->connections)
        connection->closeAfterResponse();
}

void IngressServer::closeIdleConnections()
{
    for (const auto &connection : this->openConnections())
        connection->closeIfIdle();
}

void IngressServer::refusePartialRequests()
{
    for (const auto &connection : this->openConnections())
        connection->refusePartialRequest();
}

std::uint16_t IngressServer::port() const
{
    return this->server->serverPort();
}

void IngressServer::acceptPending()
{
    while (QTcpSocket *socket = this->server->nextPendingConnection()) {
        if (this->connections.size() < this->maximumConnections) {
            this->accept(socket);
            continue;
        }
        // Nothing has been read, so the caller may safely retry any kind of request.
        socket->abort();
        socket->deleteLater();
    }
}

void IngressServer::accept(QTcpSocket *socket)
{
    socket->setParent(nullptr);
    auto connectionKey = std::make_shared<const IngressConnection *>(nullptr);
    IngressConnection::Hooks hooks;
    hooks.requestArrived = [this, connectionKey](HttpRequest request) {
        const auto found = this->connections.find(*connectionKey);
        if (found != this->connections.end())
            this->handleRequest(std::shared_ptr(found->second), std::move(request));
    };
    hooks.callerDisconnected = [this, connectionKey] {
        this->handleCallerDisconnected(*connectionKey);
    };
    hooks.closed = [this, connectionKey] {
        const auto found = this->connections.find(*connectionKey);
        if (found == this->connections.end())
            return;
        // The connection may be on the call stack, so it is destroyed by a later event.
        this->timers.post([ended = std::move(found->second)] {});
        this->connections.erase(found);
    };
    auto connection = std::make_shared<IngressConnection>(socket, this->limits, this->memory,
                                                          this->timers, std::move(hooks));
    *connectionKey = connection.get();
    if (this->closingAfterResponse)
        connection->closeAfterResponse();
    this->connections.emplace(connection.get(), connection);
    connection->start();
}

void IngressServer::enforceTimeouts()
{
    for (const auto &connection : this->openConnections())
        connection->enforceTimeouts();
}

std::vector<std::shared_ptr<IngressConnection>> IngressServer::openConnections() const
{
    std::vector<std::shared_ptr<IngressConnection>> open;
    open.reserve(this->connections.size());
    for (const auto &[key, connection] : this->connections)
        open.push_back(connection);
    return open;
}

} // namespace lacewingmux
