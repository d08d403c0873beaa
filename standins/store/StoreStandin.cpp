#include "store/StoreStandin.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QTcpSocket>
#include <QUrl>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds leaseCheckInterval{250};

} // namespace

StoreStandin::StoreStandin(TimerService &timerService)
    : timers(timerService)
    , leaseTimer(timerService.every(leaseCheckInterval,
                                    [this] {
                                        this->service.table().expireLeases(this->timers.now());
                                        this->deliverWatches();
                                    }))
    , serviceServer(
              [this](const auto &request, auto *socket) { this->handleCall(request, socket); })
    , controlServer(
              [this](const auto &request, auto *socket) { this->handleControl(request, socket); })
{ }

bool StoreStandin::start(std::uint16_t wantedPort, std::uint16_t wantedControlPort)
{
    this->servicePort = this->serviceServer.start(wantedPort);
    this->controlPortNumber = this->controlServer.start(wantedControlPort);
    return this->servicePort != 0 && this->controlPortNumber != 0;
}

void StoreStandin::setFaults(const QJsonObject &object)
{
    const bool wasClosed = this->faults.closed;
    this->faults = StoreFaults::fromJson(object);
    if (this->faults.closed && !wasClosed)
        this->serviceServer.stop();
    if (!this->faults.closed && wasClosed)
        this->serviceServer.start(this->servicePort);
    if (!this->faults.down)
        return;
    for (const auto &watch : this->watches)
        watch->breakOff();
}

std::int64_t StoreStandin::calls(const QString &client, const QString &path) const
{
    const auto counts = this->callsByClient.find(client);
    if (counts == this->callsByClient.end())
        return 0;
    const auto count = counts->second.find(path);
    return count == counts->second.end() ? 0 : count->second;
}

void StoreStandin::compact()
{
    this->service.table().compact(this->service.table().revision());
}

void StoreStandin::handleCall(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const QString path = request.url().path();
    if (path.startsWith(QLatin1String("/v1/standin/"))) {
        this->handleControl(request, socket);
        return;
    }
    ++this->callsByClient[QString::fromUtf8(request.value("User-Agent"))][path];
    if (this->faults.down)
        socket->abort();
    if (this->faults.down || this->faults.hanging)
        return;
    const QJsonDocument document = QJsonDocument::fromJson(request.body());
    if (!document.isObject()) {
        StandinHttpServer::writeJson(socket, 400,
                                     {{QStringLiteral("error"), QStringLiteral("no JSON object")}});
        return;
    }
    const QPointer<QTcpSocket> guard(socket);
    this->later([this, path, body = document.object(), guard] {
        const bool stopped = this->faults.down || this->faults.closed || this->faults.hanging;
        if (!stopped)
            this->applyCall(path, body, guard);
        else if (guard && this->faults.down)
            guard->abort();
    });
}

void StoreStandin::applyCall(const QString &path, const QJsonObject &body,
                             const QPointer<QTcpSocket> &socket)
{
    if (path == QLatin1String("/v3/watch")) {
        if (socket) {
            const auto request = body.value(QLatin1String("create_request")).toObject();
            this->watches.push_back(
                    std::make_unique<WatchStream>(socket, request, this->service.table()));
        }
        return;
    }
    const EtcdReply reply = this->service.handle(path, body, this->timers.now());
    this->deliverWatches();
    if (reply.isWrite && this->faults.loseWriteReplies > 0) {
        --this->faults.loseWriteReplies;
        if (socket)
            socket->abort();
        return;
    }
    this->later(
            [reply, socket] { StandinHttpServer::writeJson(socket, reply.status, reply.body); });
}

void StoreStandin::handleControl(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const QString path = request.url().path();
    const bool isPost = request.method() == QHttpServerRequest::Method::Post;
    if (path == QLatin1String("/v1/standin/calls")) {
        StandinHttpServer::writeJson(socket, 200, this->callsJson());
    } else if (path == QLatin1String("/v1/standin/compact") && isPost) {
        this->compact();
        StandinHttpServer::writeJson(socket, 200, {});
    } else if (path == QLatin1String("/v1/standin/faults")) {
        try {
            if (isPost)
                this->setFaults(QJsonDocument::fromJson(request.body()).object());
            StandinHttpServer::writeJson(socket, 200, this->faults.toJson());
        } catch (const LacewingmuxError &error) {
            StandinHttpServer::writeJson(socket, error.httpStatus(), error.toJson());
        }
    } else {
        StandinHttpServer::writeJson(socket, 404, {});
    }
}

QJsonObject StoreStandin::callsJson() const
{
    QJsonObject clients;
    for (const auto &[client, counts] : this->callsByClient) {
        QJsonObject paths;
        for (const auto &[path, count] : counts)
            paths.insert(path, static_cast<qint64>(count));
        clients.insert(client, paths);
    }
    return {{QStringLiteral("clients"), clients}};
}

void StoreStandin::deliverWatches()
{
    std::erase_if(this->watches, [](const auto &watch) { return watch->isOver(); });
    if (this->faults.hanging)
        return;
    for (const auto &watch : this->watches)
        watch->deliver(this->service.table());
}

void StoreStandin::later(std::function<void()> action)
{
    if (this->faults.delay.count() == 0) {
        action();
        return;
    }
    const std::uint64_t number = this->nextPending++;
    this->pending[number] =
            this->timers.after(this->faults.delay, [this, number, action = std::move(action)] {
                const auto held = this->pending.extract(number);
                action();
            });
}

} // namespace lacewingmux
