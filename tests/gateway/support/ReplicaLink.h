#pragma once

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <cstdint>
#include <utility>
#include <vector>

namespace lacewingmux {

/** The link from a VM to one replica: an address of its own that leads to the replica's port, and
   can be lost. Connections over other VMs do not use it. */
class ReplicaLink
{
public:
    /** Listens at the address, on the same port as the replica. */
    ReplicaLink(const QHostAddress &linkAddress, std::uint16_t replicaPort);
    ~ReplicaLink();
    ReplicaLink(const ReplicaLink &) = delete;
    ReplicaLink &operator=(const ReplicaLink &) = delete;

    /** Refuses new connections; open ones live on. */
    void refuse();

    /** Refuses new connections, and resets open ones. */
    void reset();

    /** Accepts connections again. */
    void restore();

private:
    using Pair = std::pair<QPointer<QTcpSocket>, QPointer<QTcpSocket>>;

    void accept(QTcpSocket *near);
    static void pass(const QPointer<QTcpSocket> &from, const QPointer<QTcpSocket> &to);

    QHostAddress address;
    std::uint16_t port;
    QTcpServer server;
    std::vector<Pair> connections;
};

} // namespace lacewingmux
