#pragma once

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <functional>
#include <vector>

namespace lacewingmux::standin {

/**
    Passes TCP connections on to a target on loopback, and can be cut.

    A connection that is cut passes nothing in either direction and a new one is taken and left
    waiting, as on a network that drops packets; mending passes on what has been held back. So a cut
    looks like silence to both sides, not like a refusal. A cut may concern some sources only: each
    daemon of a deployment dials from an address of its own.
*/
class TcpRelay
{
public:
    /** Starts to listen on a port of the system's choice. Throws when that fails. */
    TcpRelay(const QHostAddress &targetHost, std::uint16_t targetPort);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /** Returns the port that stands in for the target. */
    [[nodiscard]] std::uint16_t port() const;

    /** Stops passing bytes of any source. */
    void cut();

    /** Stops passing bytes of the sources for which the function returns true. */
    void cutSources(std::function<bool(const QHostAddress &source)> isCutSource);

    /** Passes bytes on again, also those held back. */
    void mend();

    /** Ends all connections at once, as a reset does. */
    void reset();

private:
    struct Pair
    {
        QHostAddress source;
        QPointer<QTcpSocket> near;
        QPointer<QTcpSocket> far;
    };

    void accept();
    void pass(const Pair &pair);
    void passOn(QTcpSocket *from, QTcpSocket *to);
    void end(const Pair &pair);
    void follow(const Pair &pair);
    [[nodiscard]] bool isCut(const Pair &pair) const;

    QTcpServer server;
    QHostAddress target;
    std::uint16_t targetPort;
    std::function<bool(const QHostAddress &source)> isCutSource;
    std::vector<Pair> pairs;
};

} // namespace lacewingmux::standin
