#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/HttpRequest.h"

#include <QHostAddress>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

class IngressConnection;

/** Accepts the callers' connections and keeps them until they end. */
class IngressServer
{
public:
    /** What to do with a request; the connection takes the answer while it lasts. */
    using RequestHandler =
            std::function<void(const std::shared_ptr<IngressConnection> &, HttpRequest)>;

    /** Called when a caller left while its request was being served. */
    using LeaveHandler = std::function<void(const IngressConnection *)>;

    /** Listens at once. Throws LacewingmuxError when the address can't be listened on. */
    IngressServer(const QHostAddress &address, std::uint16_t port, std::size_t connectionLimit,
                  TimerService &timerService, RequestHandler requestHandler,
                  LeaveHandler leaveHandler);
    ~IngressServer();
    IngressServer(const IngressServer &) = delete;
    IngressServer &operator=(const IngressServer &) = delete;

    /** Sets the limits for connections that come from now on. */
    void setLimits(const HttpLimits &httpLimits);

    /** Takes no new connections: callers reach other VMs. */
    void stopListening();

    /** Lets every connection end with the answer that it gets next. */
    void endConnectionsAfterAnswer();

    /** Closes the connections on which no request is under way. */
    void closeIdleConnections();

    [[nodiscard]] std::size_t connectionCount() const noexcept
    {
        return this->connections.size();
    }

    [[nodiscard]] std::uint16_t port() const;

private:
    void acceptPending();
    void accept(QTcpSocket *socket);
    void enforceTimeouts();

    /** Returns a copy of the list, which may change while connections are told something. */
    [[nodiscard]] std::vector<std::shared_ptr<IngressConnection>> openConnections() const;

    TimerService &timers;
    RequestHandler handleRequest;
    LeaveHandler handleLeave;
    std::size_t limitOfConnections;
    HttpLimits limits;
    bool ending = false;
    std::unique_ptr<QTcpServer> server;
    std::map<const IngressConnection *, std::shared_ptr<IngressConnection>> connections;
    TimerSubscription sweep;
};

} // namespace lacewingmux
