#pragma once

#include "server/StandinExchange.h"
#include "server/StandinRequest.h"

#include <QAbstractHttpServer>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lacewingmux::standin {

/** Listens on loopback and hands each request to one handler, which may answer later. */
class StandinServer final : public QAbstractHttpServer
{
public:
    using Handler =
            std::function<void(const StandinRequest &, const std::shared_ptr<StandinExchange> &)>;

    explicit StandinServer(Handler requestHandler);
    ~StandinServer() override;
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    /** Listens on the port, 0 for any; returns the port, or 0 when it can't be had. */
    [[nodiscard]] std::uint16_t start(std::uint16_t port);

    /** Stops listening and cuts off every connection, as a process does that dies. */
    void crash();

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    Handler handler;
    std::vector<QPointer<QTcpSocket>> sockets;
};

} // namespace lacewingmux::standin
