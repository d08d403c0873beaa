#include "store/WatchStream.h"

#include "common/StandinHttpServer.h"
#include "lacewingmux_keyvalue/etcd/EtcdJson.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace lacewingmux {

namespace {

QJsonObject headerAt(std::int64_t revision)
{
    return {{QStringLiteral("revision"), EtcdJson::fromInteger(revision)}};
}

QJsonObject eventJson(const KeyValueEvent &event)
{
    QJsonObject object{{QStringLiteral("kv"), EtcdJson::fromRecord(event.record)}};
    if (event.deleted)
        object.insert(QStringLiteral("type"), QStringLiteral("DELETE"));
    return object;
}

} // namespace

WatchStream::WatchStream(QTcpSocket *watchSocket, const QJsonObject &createRequest,
                         const KeyValueTable &table)
    : socket(watchSocket)
    , keys(EtcdJson::toRange(createRequest))
{
    const std::int64_t start =
            EtcdJson::toInteger(EtcdJson::member(createRequest, "start_revision", "startRevision"));
    this->seenRevision = start > 0 ? start - 1 : table.revision();
    StandinHttpServer::beginChunked(this->socket, "application/json");
    this->send({{QStringLiteral("header"), headerAt(table.revision())},
                {QStringLiteral("created"), true}});
    this->deliver(table);
}

void WatchStream::deliver(const KeyValueTable &table)
{
    if (this->isOver())
        return;
    if (this->seenRevision < table.compactedRevision()) {
        this->cancelled = true;
        this->send({{QStringLiteral("header"), headerAt(table.revision())},
                    {QStringLiteral("canceled"), true},
                    {QStringLiteral("compact_revision"),
                     EtcdJson::fromInteger(table.compactedRevision())}});
        return;
    }
    QJsonArray events;
    for (const KeyValueEvent &event : table.eventsAfter(this->seenRevision, this->keys))
        events.append(eventJson(event));
    this->seenRevision = std::max(this->seenRevision, table.revision());
    if (events.isEmpty())
        return;
    this->send({{QStringLiteral("header"), headerAt(table.revision())},
                {QStringLiteral("events"), events}});
}

void WatchStream::breakOff()
{
    if (this->socket)
        this->socket->abort();
}

bool WatchStream::isOver() const
{
    return this->cancelled || this->socket.isNull()
           || this->socket->state() != QAbstractSocket::ConnectedState;
}

void WatchStream::send(const QJsonObject &result)
{
    const QJsonObject line{{QStringLiteral("result"), result}};
    StandinHttpServer::writeChunk(this->socket,
                                  QJsonDocument(line).toJson(QJsonDocument::Compact) + '\n');
}

} // namespace lacewingmux
