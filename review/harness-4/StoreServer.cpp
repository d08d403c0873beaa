#include "StoreServer.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpLimits.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include <tuple>
#include <utility>

namespace lacewingmux::review {

namespace {

using std::chrono::milliseconds;

constexpr int notFoundStatus = 404;

QByteArray parameter(const QUrlQuery &query, const char *name)
{
    return query.queryItemValue(QLatin1String(name), QUrl::FullyDecoded).toUtf8();
}

/** Returns the number behind the last slash of the path. */
std::int64_t pathNumber(const QByteArray &path)
{
    return path.mid(path.lastIndexOf('/') + 1).toLongLong();
}

void writeReply(QTcpSocket &socket, const standin::StoreContents::Reply &reply)
{
    const QByteArray body = QJsonDocument(reply.body).toJson(QJsonDocument::Compact);
    socket.write("HTTP/1.1 " + QByteArray::number(reply.status)
                 + " Reply\r\nContent-Type: application/json\r\nContent-Length: "
                 + QByteArray::number(body.size()) + "\r\n\r\n" + body);
}

} // namespace

StoreServer::StoreServer(TimerService &timerService)
    : timers(timerService)
    , storeContents(timerService, [this] { this->handleChange(); })
{
    QObject::connect(&this->listener, &QTcpServer::newConnection, &this->listener, [this] {
        while (QTcpSocket *socket = this->listener.nextPendingConnection())
            this->accept(socket);
    });
}

StoreServer::~StoreServer() = default;

std::uint16_t StoreServer::start()
{
    this->listener.listen(QHostAddress::LocalHost);
    return this->listener.serverPort();
}

void StoreServer::accept(QTcpSocket *socket)
{
    const auto decoder = std::make_shared<RequestDecoder>(HttpLimits());
    QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, decoder] {
        decoder->append(socket->readAll());
        while (decoder->state() == DecodeState::Complete)
            this->handle(decoder->take(), socket);
        if (decoder->state() > DecodeState::Complete)
            socket->abort();
    });
}

void StoreServer::handle(const HttpRequest &request, QTcpSocket *socket)
{
    const QUrl url = QUrl::fromEncoded(request.target);
    const QByteArray path = url.path().toUtf8();
    const QUrlQuery query(url.query(QUrl::FullyEncoded));
    if (path == "/v1/kv-watch")
        this->beginWatch(query, socket);
    else
        writeReply(*socket, this->reply(path, query, request.body));
}

standin::StoreContents::Reply StoreServer::reply(const QByteArray &path, const QUrlQuery &query,
                                                 const QByteArray &body)
{
    const QJsonObject document = QJsonDocument::fromJson(body).object();
    if (path == "/v1/kv-key")
        return this->storeContents.item(parameter(query, "key"));
    if (path == "/v1/kv-range")
        return this->storeContents.list(parameter(query, "prefix"), parameter(query, "after"));
    if (path == "/v1/kv-txn")
        return this->storeContents.transact(document);
    if (path == "/v1/kv-lease")
        return this->storeContents.grantLease(
                milliseconds(document.value(QLatin1String("ttlMs")).toInteger()));
    if (path.startsWith("/v1/kv-keep/"))
        return this->storeContents.renewLease(pathNumber(path));
    if (path.startsWith("/v1/kv-lease-end/"))
        return this->storeContents.endLease(pathNumber(path));
    return {notFoundStatus, {}};
}

void StoreServer::beginWatch(const QUrlQuery &query, QTcpSocket *socket)
{
    const auto watch = std::make_shared<Watch>();
    watch->socket = socket;
    watch->prefix = parameter(query, "prefix");
    watch->afterRevision = parameter(query, "after").toLongLong();
    if (this->answer(*watch, false))
        return;
    this->watches.push_back(watch);
    watch->limit = this->timers.after(
            milliseconds(parameter(query, "waitMs").toLongLong()), [this, ended = watch.get()] {
                std::ignore = this->answer(*ended, true);
                std::erase_if(this->watches,
                              [ended](const auto &known) { return known.get() == ended; });
            });
}

bool StoreServer::answer(const Watch &watch, bool hasWaited) const
{
    if (!watch.socket)
        return true;
    const auto found = this->storeContents.changes(watch.prefix, watch.afterRevision);
    if (!hasWaited && found.body.value(QLatin1String("events")).toArray().isEmpty())
        return false;
    writeReply(*watch.socket, found);
    return true;
}

void StoreServer::handleChange()
{
    std::erase_if(this->watches, [this](const auto &watch) { return this->answer(*watch, false); });
}

} // namespace lacewingmux::review
