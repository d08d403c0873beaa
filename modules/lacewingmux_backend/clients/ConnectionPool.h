#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QString>
#include <QUrl>

#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

class ReplicaConnection;
class SharedReading;

/** Connections to backend servers that are kept open between the exchanges of one thread. */
class ConnectionPool
{
public:
    explicit ConnectionPool(TimerService &timerService);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /** Returns an idle connection to the server, or a new one that is still connecting. */
    [[nodiscard]] std::unique_ptr<ReplicaConnection> acquire(const QUrl &server);

    /** Returns a new connection. A late response to an earlier request cannot arrive on it. */
    [[nodiscard]] std::unique_ptr<ReplicaConnection> createDedicated(const QUrl &server);

    /** Keeps the connection for a later exchange if it can still be used. */
    void release(const QUrl &server, std::unique_ptr<ReplicaConnection> connection);

private:
    TimerService &timers;
    std::shared_ptr<SharedReading> reading;                                  ///< by all connections
    std::map<QString, std::vector<std::unique_ptr<ReplicaConnection>>> idle; ///< by server
};

} // namespace lacewingmux
