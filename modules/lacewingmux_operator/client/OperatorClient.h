#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QString>
#include <QUrl>

#include <chrono>
#include <vector>

namespace lacewingmux {

/** Calls the operators' endpoints of daemons and waits for the answers. */
class OperatorClient
{
public:
    /** How long one daemon has to answer. */
    static constexpr std::chrono::milliseconds callTimeout{5000};

    OperatorClient(std::vector<QUrl> daemonEndpoints, QByteArray operatorToken);

    /**
        Asks the endpoints in turn until one answers. Throws LacewingmuxError: what the daemon
        refused with, or OwnerUnavailable when none answered.
    */
    [[nodiscard]] QJsonObject get(const QString &path);

    /** Sends an order to the first endpoint that answers; throws as get() does. */
    QJsonObject post(const QString &path);

    /** Asks every endpoint and returns the answers of those that gave one. */
    [[nodiscard]] std::vector<QJsonObject> getFromAll(const QString &path);

private:
    enum class Method : std::uint8_t { Get, Post };

    [[nodiscard]] QJsonObject callAny(Method method, const QString &path);
    [[nodiscard]] QJsonObject call(Method method, const QUrl &endpoint, const QString &path);

    std::vector<QUrl> endpoints;
    QByteArray token;
    QNetworkAccessManager manager;
};

} // namespace lacewingmux
