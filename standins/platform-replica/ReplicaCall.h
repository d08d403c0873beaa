#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_gateway/http/HttpRequest.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>

class QTcpSocket;
class QUrlQuery;

namespace lacewingmux {
class TimerService;
}

namespace lacewingmux::standin {

class ReplicaRunLog;

/** One run of a request: a stream of events or a plain answer, as the request's query says. */
class ReplicaCall
{
public:
    /** What the answer says of the replica. */
    struct Head
    {
        QByteArray run;    ///< unique among all replicas
        QByteArray fields; ///< lines of further header fields
        bool closes = false;
        bool closesAtDeadline = false; ///< in order
    };

    /** What becomes of the connection after a run. */
    enum class Connection : std::uint8_t { Kept, Closed, Reset };

    /** Begins the run. The hook is called once its whole answer is written or its time is up. */
    ReplicaCall(HttpRequest httpRequest, QTcpSocket &callerSocket, Head answerHead,
                TimerService &timerService, ReplicaRunLog &runLog,
                std::function<void(Connection)> endedHook);

    /** Ends the run if it isn't over, as its caller has gone. */
    ~ReplicaCall();
    ReplicaCall(const ReplicaCall &) = delete;
    ReplicaCall &operator=(const ReplicaCall &) = delete;

private:
    void begin(const QUrlQuery &query);
    void writeHead(const QByteArray &framing);
    void writeEvent();
    void writePlain();
    void writeFramed(const QByteArray &text);
    void expire();
    void end(const char *outcome, Connection connection);

    HttpRequest request;
    QByteArray requestId;
    QTcpSocket &socket;
    Head head;
    TimerService &timers;
    ReplicaRunLog &log;
    std::function<void(Connection)> ended;
    int eventCount = 0;
    int lastEvent = 0;
    bool endsAtClose = false;
    bool isOver = false;
    std::chrono::milliseconds interval{0};
    TimerSubscription workTimer;
    TimerSubscription deadlineTimer;
};

} // namespace lacewingmux::standin
