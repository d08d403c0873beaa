#include "FloodReplica.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include <iterator>
#include <utility>

namespace lacewingmux::flood {

namespace {

using std::chrono::milliseconds;

constexpr int slotCount = 64;
constexpr milliseconds acceptInterval{100};
constexpr std::chrono::seconds ioLimit{60};

/** Returns the value of a field of a head, or an empty array. */
QByteArray fieldOf(const QByteArray &head, const QByteArray &name)
{
    const qsizetype start = head.toLower().indexOf("\r\n" + name.toLower() + ':');
    if (start < 0)
        return {};
    const qsizetype value = start + 2 + name.size() + 1;
    return head.mid(value, head.indexOf("\r\n", value) - value).trimmed();
}

QByteArray plainAnswer(const QByteArray &fields, const QByteArray &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + fields
           + "Keep-Alive: timeout=20\r\nContent-Length: " + QByteArray::number(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

FloodReplica::FloodReplica(QByteArray replicaId, QByteArray serviceName, QByteArray zoneName,
                           std::optional<FloodKind> answerKind)
    : id(std::move(replicaId))
    , service(std::move(serviceName))
    , zone(std::move(zoneName))
    , kind(std::move(answerKind))
    , listener(LoopbackSocket::listen())
{
    this->threads.emplace_back([this] { this->accept(); });
}

FloodReplica::~FloodReplica()
{
    this->isEnding = true;
    this->threads.front().join(); // no further connection is accepted
    for (const LoopbackSocket &socket : this->sockets)
        socket.shutDown();
    for (auto thread = std::next(this->threads.begin()); thread != this->threads.end(); ++thread)
        thread->join();
}

QByteArray FloodReplica::storeKey() const
{
    return "servers/" + this->id;
}

QByteArray FloodReplica::storeEntry() const
{
    return QJsonDocument(
                   QJsonObject{{QStringLiteral("service"), QString::fromLatin1(this->service)},
                               {QStringLiteral("address"),
                                QStringLiteral("127.0.0.1:%1").arg(this->listener.port())},
                               {QStringLiteral("zone"), QString::fromLatin1(this->zone)},
                               {QStringLiteral("version"), 1},
                               {QStringLiteral("slots"), slotCount},
                               {QStringLiteral("state"), QStringLiteral("ready")},
                               {QStringLiteral("coldRemainingMs"), 0},
                               {QStringLiteral("callSeq"), 0},
                               {QStringLiteral("born"), QDateTime::currentMSecsSinceEpoch()}})
            .toJson(QJsonDocument::Compact);
}

void FloodReplica::accept()
{
    while (!this->isEnding) {
        LoopbackSocket socket = this->listener.accept(acceptInterval);
        if (!socket.isOpen())
            continue;
        this->sockets.push_back(std::move(socket));
        this->threads.emplace_back(
                [this, &connection = this->sockets.back()] { this->serve(connection); });
    }
}

void FloodReplica::serve(const LoopbackSocket &socket)
{
    QByteArray received;
    while (!this->isEnding) {
        const auto request = this->readRequest(socket, received);
        if (!request || !this->answer(socket, *request))
            break;
    }
    socket.shutDown();
}

std::optional<FloodReplica::Request> FloodReplica::readRequest(const LoopbackSocket &socket,
                                                               QByteArray &received) const
{
    while (true) {
        const qsizetype headEnd = received.indexOf("\r\n\r\n") + 4;
        const QByteArray head = received.left(headEnd);
        const qsizetype size = headEnd + fieldOf(head, "Content-Length").toLongLong();
        if (headEnd >= 4 && received.size() >= size) {
            received.remove(0, size);
            return Request{head.split(' ').value(1), fieldOf(head, "Lacewingmux-Request-Id")};
        }
        const QByteArray bytes = socket.receive(LoopbackSocket::Clock::now() + ioLimit);
        if (bytes.isEmpty())
            return std::nullopt;
        received += bytes;
    }
}

bool FloodReplica::answer(const LoopbackSocket &socket, const Request &request)
{
    if (request.path == "/health")
        return this->send(socket, plainAnswer("Lacewingmux-Instance-Id: " + this->id + "\r\n", {}));
    if (request.path == "/v1/report")
        return this->send(socket,
                          plainAnswer("Lacewingmux-Instance-Id: " + this->id + "\r\n", "{}"));
    if (this->kind)
        return this->play(socket, request.id);
    return this->send(socket, plainAnswer("Lacewingmux-Server-Stamp: st.1.1\r\n"
                                          "Lacewingmux-Server-Load: 1,0,64\r\n"
                                          "Lacewingmux-Request-Id: "
                                                  + request.id + "\r\n",
                                          "done " + request.id + '\n'));
}

bool FloodReplica::play(const LoopbackSocket &socket, const QByteArray &requestId)
{
    FloodKind own = *this->kind;
    if (!this->send(socket, own.opening.replace("%ID%", requestId)))
        return false;
    if (!own.isSound()) {
        own.piece.replace("%ID%", requestId);
        this->sendWithoutEnd(socket, own.block());
        return false;
    }
    for (FloodKind::Part &part : own.parts) {
        std::this_thread::sleep_for(part.pause);
        if (!this->send(socket, part.text.replace("%ID%", requestId)))
            return false;
    }
    return true;
}

void FloodReplica::sendWithoutEnd(const LoopbackSocket &socket, const QByteArray &bytes) const
{
    while (!this->isEnding && this->send(socket, bytes)) { }
}

bool FloodReplica::send(const LoopbackSocket &socket, const QByteArray &bytes) const
{
    return socket.send(bytes, LoopbackSocket::Clock::now() + ioLimit);
}

} // namespace lacewingmux::flood
