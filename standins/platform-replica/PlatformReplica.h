#pragma once

#include "platform-replica/AnswerFaultSource.h"
#include "platform-replica/AnswerHistory.h"
#include "platform-replica/PlatformReplicaSettings.h"
#include "platform-replica/ReplicaCall.h"
#include "platform-replica/ReplicaRunLog.h"

#include <QTcpServer>

#include <cstdint>
#include <map>
#include <memory>

namespace lacewingmux {
class RequestDecoder;
}

namespace lacewingmux::standin {

/** A replica of the operators' platform on 127.0.0.1, as far as the entry VMs see it. */
class PlatformReplica
{
public:
    PlatformReplica(PlatformReplicaSettings replicaSettings, TimerService &timerService);
    ~PlatformReplica();
    PlatformReplica(const PlatformReplica &) = delete;
    PlatformReplica &operator=(const PlatformReplica &) = delete;

    /** Starts to listen on a free port and returns it; 0 on failure. */
    [[nodiscard]] std::uint16_t start();

    /** Closes the listener; open connections are served on. */
    void leave();

private:
    struct Connection
    {
        std::unique_ptr<RequestDecoder> decoder;
        AnswerHistory history;
        std::unique_ptr<ReplicaCall> call; ///< null while the connection is idle
        TimerSubscription idleTimer;
        TimerSubscription copyTimer;
    };

    void accept(QTcpSocket *socket);
    void read(QTcpSocket *socket);
    void handle(QTcpSocket *socket, const HttpRequest &request);
    void reject(QTcpSocket *socket, const HttpRequest &request, const QByteArray &status) const;
    void handleEnd(QTcpSocket *socket, ReplicaCall::Connection after);
    void scheduleCopy(QTcpSocket *socket);
    void writeCopy(QTcpSocket *socket, const QByteArray &copy);
    void startIdleTimer(QTcpSocket *socket);
    [[nodiscard]] ReplicaCall::Head nextHead();
    [[nodiscard]] int runningCalls() const;

    PlatformReplicaSettings settings;
    TimerService &timers;
    ReplicaRunLog log;
    AnswerFaultSource faults;
    bool isLeaving = false;
    int runCount = 0;
    std::map<QTcpSocket *, Connection> connections;
    QTcpServer listener;
};

} // namespace lacewingmux::standin
