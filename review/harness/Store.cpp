#include "Store.h"

#include "Record.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>

#include <thread>

#include <sys/socket.h>

namespace review {

namespace {

std::string decoded(const std::string &text)
{
    return QByteArray::fromPercentEncoding(QByteArray::fromStdString(text)).toStdString();
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string part = target.substr(
                start + 1, end == std::string::npos ? std::string::npos : end - start - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[decoded(part.substr(0, equals))] = decoded(part.substr(equals + 1));
        start = end;
    }
    return query;
}

} // namespace

Store::Store()
{
    this->listener = listenOn("127.0.0.1", this->port);
    std::thread([this] { this->accept(); }).detach();
}

void Store::accept()
{
    while (true) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
            std::thread([this, descriptor] { this->serve(descriptor); }).detach();
    }
}

void Store::serve(int descriptor)
{
    Connection connection(descriptor);
    while (true) {
        Request request;
        if (!connection.readRequest(request, Clock::now() + std::chrono::hours(1)))
            return;
        const Reply result = this->reply(request);
        const std::string body =
                QJsonDocument(result.body).toJson(QJsonDocument::Compact).toStdString();
        if (!connection.write("HTTP/1.1 " + std::to_string(result.status)
                              + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

Store::Reply Store::reply(const Request &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto query = queryOf(request.target);
    if (path == "/v1/kv-watch")
        return this->watch(query);
    const std::lock_guard lock(this->mutex);
    if (path == "/v1/kv-key") {
        const auto found = this->items.find(query.at("key"));
        if (found == this->items.end())
            return {404, this->withRevision({})};
        return {200, this->withRevision(found->second)};
    }
    if (path == "/v1/kv-range") {
        const auto after = query.find("after");
        QJsonArray found;
        for (const auto &[key, item] : this->items) {
            if (key.starts_with(query.at("prefix"))
                && (after == query.end() || key > after->second))
                found.append(item);
        }
        return {200, this->withRevision({{"items", found}, {"hasMore", false}})};
    }
    if (path == "/v1/kv-txn")
        return this->transact(
                QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object());
    Record::write("store: call that the stand-in does not serve: %s %s", request.method.c_str(),
                  request.target.c_str());
    return {404, {}};
}

Store::Reply Store::watch(const std::map<std::string, std::string> &query)
{
    const std::string prefix = query.at("prefix");
    const qint64 after = std::stoll(query.at("after"));
    const auto limit = Clock::now() + std::chrono::milliseconds(std::stoll(query.at("waitMs")));
    std::unique_lock lock(this->mutex);
    while (true) {
        QJsonArray events;
        for (const QJsonObject &change : this->history) {
            if (change.value("rev").toInteger() > after
                && change.value("key").toString().toStdString().starts_with(prefix))
                events.append(change);
        }
        if (!events.isEmpty() || Clock::now() >= limit)
            return {200, this->withRevision({{"events", events}})};
        this->changed.wait_until(lock, limit);
    }
}

Store::Reply Store::transact(const QJsonObject &transaction)
{
    const QJsonArray expected = transaction.value("expectedRev").toArray();
    QJsonArray current;
    bool holds = true;
    for (const QJsonValue entry : expected) {
        const auto found = this->items.find(entry["key"].toString().toStdString());
        const bool exists = found != this->items.end();
        holds = holds
                && entry["rev"].toInteger() == (exists ? found->second["rev"].toInteger() : 0);
        if (exists)
            current.append(found->second);
    }
    if (!holds)
        return {412, this->withRevision({{"items", current}})};
    for (const QJsonValue entry : transaction.value("put").toArray()) {
        const QString key = entry["key"].toString();
        if (key.startsWith("op/") || key.startsWith("servers/"))
            return {403, {}};
    }
    for (const QJsonValue entry : transaction.value("put").toArray()) {
        const std::string key = entry["key"].toString().toStdString();
        const auto known = this->items.find(key);
        const qint64 created = known == this->items.end() ? this->revision + 1
                                                          : known->second["createdRev"].toInteger();
        this->record(key, {{"value", entry["value"]}, {"createdRev", created}, {"lease", 0}});
    }
    for (const QJsonValue entry : transaction.value("delete").toArray()) {
        const std::string key = entry.toString().toStdString();
        if (this->items.contains(key))
            this->record(key, {{"deleted", true}});
    }
    return {200, {{"rev", this->revision}}};
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->items.find(key);
    const qint64 created = known == this->items.end() ? this->revision + 1
                                                      : known->second["createdRev"].toInteger();
    this->record(key, {{"value", QString::fromLatin1(QByteArray::fromStdString(value).toBase64())},
                       {"createdRev", created},
                       {"lease", 0}});
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    if (this->items.contains(key))
        this->record(key, {{"deleted", true}});
}

std::string Store::value(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(key);
    if (found == this->items.end())
        return {};
    return QByteArray::fromBase64(found->second["value"].toString().toLatin1()).toStdString();
}

void Store::record(const std::string &key, QJsonObject item)
{
    item.insert("key", QString::fromStdString(key));
    item.insert("rev", ++this->revision);
    this->history.push_back(item);
    if (item.contains("deleted"))
        this->items.erase(key);
    else
        this->items[key] = item;
    this->changed.notify_all();
}

QJsonObject Store::withRevision(QJsonObject body) const
{
    body.insert("storeRevision", this->revision);
    return body;
}

} // namespace review
