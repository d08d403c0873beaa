#pragma once

#include "lacewingmux_keyvalue/memory/KeyValueTable.h"
#include "store/EtcdReply.h"

#include <QJsonObject>
#include <QString>

#include <cstdint>

namespace lacewingmux {

/**
    The calls of the etcd v3 JSON gateway that lacewingmux uses, over a KeyValueTable: range, put,
    deleterange, txn, lease grant, keepalive and revoke. Watches are served by WatchStream.

    Of a txn, the compares EQUAL, GREATER, LESS and NOT_EQUAL on MOD and CREATE are known, and
    each branch may hold puts, ranges and one level of deletes.
*/
class EtcdService
{
public:
    /** The largest value that a put may carry. */
    static constexpr qsizetype valueLimitBytes = 1'048'576;

    /** Answers one call; an unknown path is answered with status 404. */
    [[nodiscard]] EtcdReply handle(const QString &path, const QJsonObject &body,
                                   KeyValueTable::Time now);

    /** Returns {"revision": "..."}. */
    [[nodiscard]] QJsonObject header() const;

    [[nodiscard]] KeyValueTable &table() noexcept
    {
        return this->keyValues;
    }

private:
    [[nodiscard]] EtcdReply range(const QJsonObject &body) const;
    [[nodiscard]] EtcdReply put(const QJsonObject &body);
    [[nodiscard]] EtcdReply deleteRange(const QJsonObject &body);
    [[nodiscard]] EtcdReply transaction(const QJsonObject &body);
    [[nodiscard]] EtcdReply grantLease(const QJsonObject &body, KeyValueTable::Time now);
    [[nodiscard]] EtcdReply keepAlive(const QJsonObject &body, KeyValueTable::Time now);
    [[nodiscard]] EtcdReply revokeLease(const QJsonObject &body);
    [[nodiscard]] bool compareHolds(const QJsonObject &compare) const;
    [[nodiscard]] EtcdReply checkPut(const QJsonObject &body) const;
    [[nodiscard]] static EtcdReply error(int status, int code, const QString &message);

    KeyValueTable keyValues;
};

} // namespace lacewingmux
