#pragma once

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <vector>

namespace lacewingmux::standin {

/**
    Passes TCP connections on to a port on loopback, and can be cut.

    While cut, its connections pass nothing in either direction and new ones are taken and left
    waiting, as on a network that drops packets; mending it passes on what has been held back. So a
    cut looks like silence to both sides, not like a refusal.
*/
class TcpRelay
{
public:
    /** Starts to listen on a port of the system's choice. Throws when that fails. */
    explicit TcpRelay(std::uint16_t targetPort);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /** Returns the port that stands in for the target. */
    [[nodiscard]] std::uint16_t port() const;

    /** Sets where new connections go, for a target that started again on another port. */
    void setTargetPort(std::uint16_t newTargetPort);

    /** Stops passing bytes on. */
    void cut();

    /** Passes bytes on again, also those held back. */
    void mend();

    /** Ends all connections at once, as a reset does. */
    void reset();

    [[nodiscard]] bool isCut() const
    {
        return this->cutNow;
    }

private:
    struct Pair
    {
        QPointer<QTcpSocket> near;
        QPointer<QTcpSocket> far;
    };

    void accept();
    void pass(QTcpSocket *from, QTcpSocket *to);
    void connectPair(QTcpSocket *from, QTcpSocket *to);

    QTcpServer server;
    std::uint16_t targetPort;
    bool cutNow = false;
    std::vector<Pair> pairs;
};

} // namespace lacewingmux::standin
