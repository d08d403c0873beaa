#pragma once

#include "FloodKind.h"
#include "LoopbackSocket.h"

#include <QByteArray>

#include <atomic>
#include <list>
#include <optional>
#include <thread>

namespace lacewingmux::flood {

/** A replica on 127.0.0.1 with a thread for each connection. It answers health checks. */
class FloodReplica
{
public:
    /** Answers calls with the kind, or with one short plain answer each if there is none. */
    FloodReplica(QByteArray replicaId, QByteArray serviceName, QByteArray zoneName,
                 std::optional<FloodKind> answerKind);
    ~FloodReplica();
    FloodReplica(const FloodReplica &) = delete;
    FloodReplica &operator=(const FloodReplica &) = delete;

    /** Returns its key in the store. */
    [[nodiscard]] QByteArray storeKey() const;

    /** Returns its entry in the store. */
    [[nodiscard]] QByteArray storeEntry() const;

private:
    struct Request
    {
        QByteArray path;
        QByteArray id;
    };

    void accept();
    void serve(const LoopbackSocket &socket);
    /** Returns nothing if the connection is closed. */
    [[nodiscard]] std::optional<Request> readRequest(const LoopbackSocket &socket,
                                                     QByteArray &received) const;
    /** Returns whether the connection is kept. */
    bool answer(const LoopbackSocket &socket, const Request &request);
    bool play(const LoopbackSocket &socket, const QByteArray &requestId);
    /** Sends the block until the connection is closed. */
    void sendWithoutEnd(const LoopbackSocket &socket, const QByteArray &bytes) const;
    bool send(const LoopbackSocket &socket, const QByteArray &bytes) const;

    QByteArray id;
    QByteArray service;
    QByteArray zone;
    std::optional<FloodKind> kind;
    LoopbackSocket listener;
    std::atomic<bool> isEnding{false};
    std::list<LoopbackSocket> sockets; ///< of all connections, also closed ones
    std::list<std::thread> threads;
};

} // namespace lacewingmux::flood
