#include "lacewingmux_gateway/ingress/IngressServer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <utility>
#include <vector>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds sweepInterval{250}; // fine enough for limits of seconds
constexpr int acceptBacklog = 512;                      // a full queue costs a caller seconds

} // namespace

IngressServer::IngressServer(const QHostAddress &address, std::uint16_t port,
                             std::size_t connectionLimit, TimerService &timerService,
                             RequestHandler requestHandler, LeaveHandler leaveHandler)
    : timers(timerService)
    , handleRequest(std::move(requestHandler))
    , handleLeave(std::move(leaveHandler))
    , limitOfConnections(connectionLimit)
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
    this->sweep = this->timers.every(sweepInterval, [this] { this->enforceTimeouts(); });
}

IngressServer::~IngressServer() = default;

void IngressServer::setLimits(const HttpLimits &httpLimits)
{
    this->limits = httpLimits;
}

void IngressServer::stopListening()
{
    this->acceptPending();
    this->server->close();
}

void IngressServer::endConnectionsAfterAnswer()
{
    this->ending = true;
    for (const auto &[key, connection] : this->connections)
        connection->closeAfterAnswer();
}

void IngressServer::closeIdleConnections()
{
    for (const auto &connection : this->openConnections())
        connection->closeIfIdle();
}

std::uint16_t IngressServer::port() const
{
    return this->server->serverPort();
}

void IngressServer::acceptPending()
{
    while (QTcpSocket *socket = this->server->nextPendingConnection()) {
        if (this->connections.size() < this->limitOfConnections) {
            this->accept(socket);
            continue;
        }
        // Nothing has been read, so the caller may come back for any kind of request.
        socket->abort();
        socket->deleteLater();
    }
}

void IngressServer::accept(QTcpSocket *socket)
{
    socket->setParent(nullptr);
    auto place = std::make_shared<const IngressConnection *>(nullptr);
    IngressConnection::Hooks hooks;
    hooks.requestArrived = [this, place](HttpRequest request) {
        const auto found = this->connections.find(*place);
        if (found != this->connections.end())
            this->handleRequest(std::shared_ptr(found->second), std::move(request));
    };
    hooks.callerLeft = [this, place] { this->handleLeave(*place); };
    hooks.closed = [this, place] {
        const auto found = this->connections.find(*place);
        if (found == this->connections.end())
            return;
        // The connection may be calling this, so it goes on the next turn of the loop.
        this->timers.post([ended = std::move(found->second)] {});
        this->connections.erase(found);
    };
    auto connection = std::make_shared<IngressConnection>(socket, this->limits, this->timers,
                                                          std::move(hooks));
    *place = connection.get();
    if (this->ending)
        connection->closeAfterAnswer();
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
