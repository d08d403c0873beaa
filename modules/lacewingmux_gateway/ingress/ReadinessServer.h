#pragma once

#include <QHostAddress>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

/** Answers the load balancer's readiness checks: 200 if this VM accepts connections, else 503. */
class ReadinessServer
{
public:
    /** Starts listening. Throws LacewingmuxError if listening on the address fails. */
    ReadinessServer(const QHostAddress &address, std::uint16_t port,
                    std::function<bool()> readyCheck);
    ~ReadinessServer();
    ReadinessServer(const ReadinessServer &) = delete;
    ReadinessServer &operator=(const ReadinessServer &) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    void accept(QTcpSocket *socket);
    void answer(QTcpSocket *socket);

    std::function<bool()> isReady;
    std::unique_ptr<QTcpServer> server;
};

} // namespace lacewingmux
