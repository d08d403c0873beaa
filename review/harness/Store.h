#pragma once

#include "Http.h"

#include <QJsonObject>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** A sound store of the platform, as far as the two roles use it: items, listings, watches that
    wait, and transactions. Leases are not served; none of the roles takes one. */
class Store
{
public:
    Store();
    std::uint16_t port = 0;

    /** Writes as the operator or a replica does. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    std::string value(const std::string &key);

private:
    struct Reply
    {
        int status = 200;
        QJsonObject body;
    };

    void accept();
    void serve(int descriptor);
    Reply reply(const Request &request);
    Reply watch(const std::map<std::string, std::string> &query);
    Reply transact(const QJsonObject &transaction);
    void record(const std::string &key, QJsonObject item);
    QJsonObject withRevision(QJsonObject body) const;

    int listener = -1;
    std::mutex mutex;
    std::condition_variable changed;
    qint64 revision = 10;
    std::map<std::string, QJsonObject> items;
    std::vector<QJsonObject> history;
};

} // namespace review
