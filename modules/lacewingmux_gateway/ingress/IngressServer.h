#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/MemoryAccount.h"

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

/** Accepts the callers' connections and owns them until they close. */
class IngressServer
{
public:
    /** Handles a request; the response goes to the connection while it is open. */
    using RequestHandler =
            std::function<void(const std::shared_ptr<IngressConnection> &, HttpRequest)>;

    /** Called when a caller disconnects while its request is being served. */
    using DisconnectHandler = std::function<void(const IngressConnection *)>;

    /** Starts listening. Throws LacewingmuxError if listening on the address fails. The memory
       limit is in bytes. */
    IngressServer(const QHostAddress &address, std::uint16_t port, std::size_t connectionLimit,
                  qsizetype memoryLimit, TimerService &timerService, RequestHandler requestHandler,
                  DisconnectHandler disconnectHandler);
    ~IngressServer();
    IngressServer(const IngressServer &) = delete;
    IngressServer &operator=(const IngressServer &) = delete;

    /** Sets the limits for all connections. */
    void setLimits(const HttpLimits &httpLimits);

    /** Accepts no new connections, so that callers connect to other VMs. */
    void stopListening();

    /** Closes every connection after its current or next response. */
    void closeConnectionsAfterResponse();

    /** Closes the connections without an active request. */
    void closeIdleConnections();

    /** Refuses the requests that have arrived in part. */
    void refusePartialRequests();

    [[nodiscard]] std::size_t connectionCount() const noexcept
    {
        return this->connections.size();
    }

    /** Returns the bytes of requests, and of responses that callers have not read yet. */
    [[nodiscard]] qsizetype usedMemory() const noexcept
    {
        return this->memory->usedBytes();
    }

    [[nodiscard]] std::uint16_t port() const;

private:
    void acceptPending();
    void accept(QTcpSocket *socket);
    void enforceTimeouts();

    /** Returns a copy of the list, because calls on connections may change the original. */
    [[nodiscard]] std::vector<std::shared_ptr<IngressConnection>> openConnections() const;

    TimerService &timers;
    RequestHandler handleRequest;
    DisconnectHandler handleCallerDisconnected;
    std::size_t maximumConnections;
    std::shared_ptr<MemoryAccount> memory;
    HttpLimits limits;
    bool closingAfterResponse = false;
    std::unique_ptr<QTcpServer> server;
    std::map<const IngressConnection *, std::shared_ptr<IngressConnection>> connections;
    TimerSubscription timeoutTimer;
};

} // namespace lacewingmux
