#pragma once

#include "lacewingmux_gateway/http/HttpRequest.h"

#include <QByteArray>
#include <QHostAddress>
#include <QPointer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

class ListenQueueFiller;
class PortReservation;

/**
    A backend server on loopback whose answers are written by the test, byte for byte. It notes
    every request that it was sent.
*/
class ScriptedReplica
{
public:
    /** The connection on which a request came, to answer on. Ignored once the caller has gone. */
    class Exchange
    {
    public:
        Exchange(QTcpSocket *connection, int connectionNumber, QTcpServer *replicaServer);

        /** Returns the number of the connection, which no other one in the process has. */
        [[nodiscard]] int connection() const noexcept
        {
            return this->number;
        }

        /** Writes bytes as they are. */
        void write(const QByteArray &bytes) const;

        /** Writes bytes, and hands them to the network before it returns. */
        void writeNow(const QByteArray &bytes) const;

        /** Writes bytes later. */
        void writeAfter(std::chrono::milliseconds delay, const QByteArray &bytes) const;

        /** Closes the connection in order. */
        void close() const;

        /** Closes the connection and refuses new ones, as a replica does that crashes. */
        void crash() const;

        /** Resets the connection. */
        void reset() const;

        /** Drops all that arrives on the connection from now on, without an acknowledgement, as
            behind a cut link. */
        void dropIncoming() const;

        /** Tells whether the caller has closed the connection. */
        [[nodiscard]] bool isClosed() const;

    private:
        QPointer<QTcpSocket> socket;
        int number;
        QPointer<QTcpServer> server;
    };

    using Handler = std::function<void(const HttpRequest &, const Exchange &)>;

    /** Listens at once, on a free port unless one is given. */
    explicit ScriptedReplica(Handler requestHandler,
                             const QHostAddress &address = QHostAddress::LocalHost,
                             std::uint16_t port = 0);
    ~ScriptedReplica();
    ScriptedReplica(const ScriptedReplica &) = delete;
    ScriptedReplica &operator=(const ScriptedReplica &) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /** Refuses new connections; those that are open stay. The port remains this replica's. */
    void stopListening();

    /** Gives no response to new connections, as its queue of them is full; those that are open
        stay. */
    void stopAccepting();

    /** Returns the requests that have come, in order. */
    [[nodiscard]] const std::vector<HttpRequest> &requests() const noexcept
    {
        return this->received;
    }

    [[nodiscard]] int connectionCount() const noexcept
    {
        return this->accepted;
    }

private:
    void accept(QTcpSocket *socket);

    Handler handler;
    std::unique_ptr<PortReservation> reservation; ///< null if the port was given
    std::uint16_t listeningPort;
    std::unique_ptr<QTcpServer> server;
    std::unique_ptr<ListenQueueFiller> queueFiller;
    std::vector<HttpRequest> received;
    int accepted = 0;
};

} // namespace lacewingmux
