#include "platform-replica/PlatformReplica.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/RequestDecoder.h"

#include <QTcpSocket>

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace lacewingmux::standin {

namespace {

constexpr int longestCopyDelay = 200; // milliseconds

void reset(QTcpSocket *socket)
{
    socket->flush(); // what was written is sent before
    // A linger time of zero turns the close into a reset.
    const linger atOnce{1, 0};
    ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &atOnce,
                 sizeof atOnce);
    socket->abort();
}

} // namespace

PlatformReplica::PlatformReplica(PlatformReplicaSettings replicaSettings,
                                 TimerService &timerService)
    : settings(std::move(replicaSettings))
    , timers(timerService)
    , log(this->settings.logFile)
    , faults(this->settings.stutterFile, this->settings.stutterPercent, this->settings.stutterSeed)
{
    this->listener.setListenBacklogSize(this->settings.backlog);
    QObject::connect(&this->listener, &QTcpServer::newConnection, &this->listener, [this] {
        while (QTcpSocket *socket = this->listener.nextPendingConnection())
            this->accept(socket);
    });
}

PlatformReplica::~PlatformReplica() = default;

std::uint16_t PlatformReplica::start()
{
    this->listener.listen(QHostAddress::LocalHost);
    return this->listener.serverPort();
}

void PlatformReplica::leave()
{
    this->isLeaving = true;
    this->listener.close();
}

void PlatformReplica::accept(QTcpSocket *socket)
{
    socket->setParent(nullptr); // outlives the listener
    if (static_cast<int>(this->connections.size()) >= this->settings.connectionLimit) {
        reset(socket);
        socket->deleteLater();
        return;
    }
    this->connections[socket].decoder = std::make_unique<RequestDecoder>(HttpLimits());
    this->startIdleTimer(socket);
    QObject::connect(socket, &QTcpSocket::readyRead, socket,
                     [this, socket] { this->read(socket); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
        this->connections.erase(socket);
        socket->deleteLater();
    });
    if (socket->bytesAvailable() > 0)
        this->read(socket);
}

void PlatformReplica::read(QTcpSocket *socket)
{
    Connection &connection = this->connections.at(socket);
    connection.decoder->append(socket->readAll());
    if (connection.decoder->state() > DecodeState::Complete)
        socket->abort();
    else if (connection.decoder->state() == DecodeState::Complete && !connection.call)
        this->handle(socket, connection.decoder->take());
}

void PlatformReplica::handle(QTcpSocket *socket, const HttpRequest &request)
{
    const QByteArray expected = fieldValue(request.fields, "Lacewingmux-Expect-Instance");
    if (!expected.isEmpty() && expected != this->settings.id) {
        this->reject(socket, request, "421 Misdirected Request");
        return;
    }
    Connection &connection = this->connections.at(socket);
    connection.idleTimer.cancel();
    connection.call = std::make_unique<ReplicaCall>(
            request, *socket, this->nextHead(), connection.history, this->timers, this->log,
            [this, socket](ReplicaCall::Connection after) {
                this->timers.post([this, socket, after] { this->handleEnd(socket, after); });
            });
}

void PlatformReplica::reject(QTcpSocket *socket, const HttpRequest &request,
                             const QByteArray &status) const
{
    socket->write("HTTP/1.1 " + status + "\r\nLacewingmux-Request-Id: "
                  + fieldValue(request.fields, "Lacewingmux-Request-Id")
                  + "\r\nLacewingmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

void PlatformReplica::handleEnd(QTcpSocket *socket, ReplicaCall::Connection after)
{
    const auto found = this->connections.find(socket);
    if (found == this->connections.end())
        return;
    found->second.call.reset();
    if (after == ReplicaCall::Connection::Reset) {
        reset(socket);
    } else if (after == ReplicaCall::Connection::Closed) {
        socket->disconnectFromHost();
    } else {
        this->startIdleTimer(socket);
        this->scheduleCopy(socket);
        this->read(socket);
    }
}

void PlatformReplica::scheduleCopy(QTcpSocket *socket)
{
    Connection &connection = this->connections.at(socket);
    const QByteArray copy = std::exchange(connection.history.later, {});
    if (copy.isEmpty())
        return;
    const std::chrono::milliseconds delay(1 + this->runCount % longestCopyDelay);
    connection.copyTimer =
            this->timers.after(delay, [this, socket, copy] { this->writeCopy(socket, copy); });
}

void PlatformReplica::writeCopy(QTcpSocket *socket, const QByteArray &copy)
{
    Connection &connection = this->connections.at(socket);
    if (connection.call) {
        connection.history.beforeNext += copy;
    } else {
        connection.history.hadStrayCopy = true; // the next request may be on its way
        socket->write(copy);
    }
}

void PlatformReplica::startIdleTimer(QTcpSocket *socket)
{
    this->connections.at(socket).idleTimer = this->timers.after(
            this->settings.idleTimeout, [socket] { socket->disconnectFromHost(); });
}

ReplicaCall::Head PlatformReplica::nextHead()
{
    ReplicaCall::Head head;
    head.run = this->settings.id + '.' + QByteArray::number(++this->runCount);
    head.closes = this->isLeaving;
    head.closesAtDeadline = this->settings.closesAtDeadline;
    head.fault = this->faults.next();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(this->settings.idleTimeout);
    head.fields = "Lacewingmux-Server-Load: " + QByteArray::number(this->runningCalls() + 1) + ",0,"
                  + QByteArray::number(this->settings.slotCount) + "\r\nKeep-Alive: timeout="
                  + QByteArray::number(static_cast<qint64>(seconds.count())) + "\r\n";
    return head;
}

int PlatformReplica::runningCalls() const
{
    return static_cast<int>(
            std::count_if(this->connections.begin(), this->connections.end(),
                          [](const auto &entry) { return entry.second.call != nullptr; }));
}

} // namespace lacewingmux::standin
