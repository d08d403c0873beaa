#pragma once

#include "common/StandinHttpServer.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "store/EtcdService.h"
#include "store/StoreFaults.h"
#include "store/WatchStream.h"

#include <QByteArray>
#include <QJsonObject>
#include <QPointer>
#include <QString>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    The platform's key-value service in small: the subset of the etcd v3 JSON gateway that
    lacewingmux uses, and beside it what tests need:

    - GET and POST /v1/standin/faults: see StoreFaults; a POST sets all of them, {} ends them;
    - GET /v1/standin/calls: {"clients": {client: {path: count}}}, a client being the value of
      the header User-Agent; calls that a fault swallowed count too;
    - POST /v1/standin/compact: drops the history of changes.

    The service port serves both; the control port serves the latter alone and stays open when
    the service port is told to close.
*/
class StoreStandin
{
public:
    explicit StoreStandin(TimerService &timerService);
    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    /** Listens on two loopback ports; 0 lets the system choose. Returns false when it can't. */
    bool start(std::uint16_t servicePort, std::uint16_t controlPort);

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return this->servicePort;
    }
    [[nodiscard]] std::uint16_t controlPort() const noexcept
    {
        return this->controlPortNumber;
    }

    /** Sets all faults, as POST /v1/standin/faults does. Throws LacewingmuxError. */
    void setFaults(const QJsonObject &object);

    /** Returns how many calls came to the path from the client. */
    [[nodiscard]] std::int64_t calls(const QString &client, const QString &path) const;

    /** Drops the history of changes. */
    void compact();

    [[nodiscard]] KeyValueTable &table() noexcept
    {
        return this->service.table();
    }

private:
    void handleCall(const QHttpServerRequest &request, QTcpSocket *socket);
    void applyCall(const QString &path, const QJsonObject &body,
                   const QPointer<QTcpSocket> &socket);
    void handleControl(const QHttpServerRequest &request, QTcpSocket *socket);
    [[nodiscard]] QJsonObject callsJson() const;
    void deliverWatches();
    void later(std::function<void()> action);

    TimerService &timers;
    EtcdService service;
    StoreFaults faults;
    std::vector<std::unique_ptr<WatchStream>> watches;
    std::map<QString, std::map<QString, std::int64_t>> callsByClient;
    std::uint16_t servicePort = 0;
    std::uint16_t controlPortNumber = 0;
    std::map<std::uint64_t, TimerSubscription> pending;
    std::uint64_t nextPending = 0;
    TimerSubscription leaseTimer;
    StandinHttpServer serviceServer;
    StandinHttpServer controlServer;
};

} // namespace lacewingmux
