#pragma once

#include <QHostAddress>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

/** Answers the balancer's question whether this VM wants new connections: 200 or 503. */
class ReadinessServer
{
public:
    /** Listens at once. Throws LacewingmuxError when the address can't be listened on. */
    ReadinessServer(const QHostAddress &address, std::uint16_t port,
                    std::function<bool()> readyCheck);
    ~ReadinessServer();
    ReadinessServer(const ReadinessServer &) = delete;
    ReadinessServer &operator=(const ReadinessServer &) = delete;

private:
    void accept(QTcpSocket *socket);
    void answer(QTcpSocket *socket);

    std::function<bool()> isReady;
    std::unique_ptr<QTcpServer> server;
};

} // namespace lacewingmux
