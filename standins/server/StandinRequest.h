#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>
#include <QUrlQuery>

#include <utility>
#include <vector>

namespace lacewingmux::standin {

/** One request that reached a stand-in. */
struct StandinRequest
{
    QByteArray method;
    QString path;
    QUrlQuery query;
    std::vector<std::pair<QByteArray, QByteArray>> headers;
    QByteArray body;

    /** Returns the value of the first header with the name, compared without case, or nothing. */
    [[nodiscard]] QByteArray header(const QByteArray &name) const;

    /** Returns the body as a JSON object, empty when it is none. */
    [[nodiscard]] QJsonObject json() const;

    /** Returns the caller's name for the request: Idempotency-Key, else Lacewingmux-Request-Id. */
    [[nodiscard]] QString requestId() const;
};

} // namespace lacewingmux::standin
