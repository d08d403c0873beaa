#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>
#include <QUrl>

#include <cstdint>

namespace lacewingmux::standin {

/** What came back of a request; status 0 when nothing did. */
struct HttpAnswer
{
    int status = 0;
    QByteArray body;
};

/** Returns an http URL on 127.0.0.1. */
[[nodiscard]] QUrl loopbackUrl(std::uint16_t port, const QString &path);

/** Sends a GET over a connection of its own and runs the event loop until it has ended. */
[[nodiscard]] HttpAnswer getAndWait(const QUrl &url);

/** Posts JSON likewise. */
[[nodiscard]] HttpAnswer postAndWait(const QUrl &url, const QJsonObject &body);

/** Returns the JSON object of a GET. Throws LacewingmuxError for any status but 200. */
[[nodiscard]] QJsonObject getJson(const QUrl &url);

/** Posts JSON. Throws LacewingmuxError for any status outside 200 to 299. */
void postJson(const QUrl &url, const QJsonObject &body);

} // namespace lacewingmux::standin
