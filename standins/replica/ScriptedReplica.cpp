#include "replica/ScriptedReplica.h"

#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/RequestDecoder.h"
#include "replica/ListenQueueFiller.h"
#include "replica/PortReservation.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <utility>

#include <linux/filter.h>
#include <sys/socket.h>

namespace lacewingmux {

namespace {

// A replica gets a conversation in whole, which is longer than what a caller sends.
constexpr std::uint64_t longestConversationBytes = std::uint64_t{64} * 1024 * 1024;

constexpr int listenBacklog = 50;

} // namespace

ScriptedReplica::Exchange::Exchange(QTcpSocket *connection, int connectionNumber,
                                    QTcpServer *replicaServer)
    : socket(connection)
    , number(connectionNumber)
    , server(replicaServer)
{ }

void ScriptedReplica::Exchange::write(const QByteArray &bytes) const
{
    if (this->socket)
        this->socket->write(bytes);
}

void ScriptedReplica::Exchange::writeNow(const QByteArray &bytes) const
{
    this->write(bytes);
    if (this->socket)
        this->socket->flush();
}

void ScriptedReplica::Exchange::writeAfter(std::chrono::milliseconds delay,
                                           const QByteArray &bytes) const
{
    if (this->socket)
        QTimer::singleShot(delay, this->socket,
                           [exchange = *this, bytes] { exchange.write(bytes); });
}

void ScriptedReplica::Exchange::close() const
{
    if (this->socket)
        this->socket->disconnectFromHost();
}

void ScriptedReplica::Exchange::crash() const
{
    if (this->server)
        this->server->close();
    this->close();
}

void ScriptedReplica::Exchange::reset() const
{
    if (!this->socket)
        return;
    this->socket->flush();
    // A linger time of zero turns the close into a reset.
    const linger atOnce{1, 0};
    ::setsockopt(static_cast<int>(this->socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &atOnce,
                 sizeof atOnce);
    this->socket->abort();
}

void ScriptedReplica::Exchange::dropIncoming() const
{
    if (!this->socket)
        return;
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &dropAll};
    ::setsockopt(static_cast<int>(this->socket->socketDescriptor()), SOL_SOCKET, SO_ATTACH_FILTER,
                 &program, sizeof program);
}

bool ScriptedReplica::Exchange::isClosed() const
{
    return !this->socket || this->socket->state() != QAbstractSocket::ConnectedState;
}

ScriptedReplica::ScriptedReplica(Handler requestHandler, const QHostAddress &address,
                                 std::uint16_t port)
    : handler(std::move(requestHandler))
    , reservation(port == 0 ? std::make_unique<PortReservation>(address) : nullptr)
    , listeningPort(port == 0 ? this->reservation->port() : port)
    , server(std::make_unique<QTcpServer>())
{
    QObject::connect(this->server.get(), &QTcpServer::newConnection, this->server.get(), [this] {
        while (QTcpSocket *socket = this->server->nextPendingConnection())
            this->accept(socket);
    });
    this->server->setListenBacklogSize(listenBacklog);
    this->server->listen(address, this->listeningPort);
}

ScriptedReplica::~ScriptedReplica() = default;

std::uint16_t ScriptedReplica::port() const
{
    return this->listeningPort;
}

void ScriptedReplica::stopListening()
{
    this->server->close();
}

void ScriptedReplica::stopAccepting()
{
    this->server->pauseAccepting();
    this->queueFiller = std::make_unique<ListenQueueFiller>(this->port());
}

void ScriptedReplica::accept(QTcpSocket *socket)
{
    static int connections = 0;
    const int number = ++connections;
    ++this->accepted;
    QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    HttpLimits limits;
    limits.bodyBytes = longestConversationBytes;
    auto decoder = std::make_shared<RequestDecoder>(limits);
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, number, decoder] {
        decoder->append(socket->readAll());
        while (decoder->state() == DecodeState::Complete) {
            const HttpRequest request = decoder->take();
            this->received.push_back(request);
            this->handler(request, Exchange(socket, number, this->server.get()));
        }
    });
}

} // namespace lacewingmux
