#pragma once

#include "platform-replica/AnswerFault.h"
#include "platform-replica/AnswerText.h"

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_gateway/http/HttpRequest.h"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <functional>

class QTcpSocket;
class QUrlQuery;

namespace lacewingmux {
class TimerService;
}

namespace lacewingmux::standin {

class ReplicaRunLog;
struct AnswerHistory;

/**
    One run of a request: a stream of events or a plain answer, as the request's query says, spoilt
    as its fault says.
*/
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
        AnswerFault fault;
    };

    /** What becomes of the connection after a run. */
    enum class Connection : std::uint8_t { Kept, Closed, Reset };

    /** Begins the run. The hook is called once its answer is written or its time is up. */
    ReplicaCall(HttpRequest httpRequest, QTcpSocket &callerSocket, Head answerHead,
                AnswerHistory &answerHistory, TimerService &timerService, ReplicaRunLog &runLog,
                std::function<void(Connection)> endedHook);

    /** Ends the run if it isn't over, as its caller has gone. */
    ~ReplicaCall();
    ReplicaCall(const ReplicaCall &) = delete;
    ReplicaCall &operator=(const ReplicaCall &) = delete;

private:
    void begin(const QUrlQuery &query);
    void chooseCut();
    void writePart();
    void writeNoAnswer();
    void writeWhatComesBefore();
    void writeWhatComesBehind();
    void endCut();
    void endWhole();
    void expire();
    void end(const char *outcome, Connection connection);
    [[nodiscard]] int lastEvent() const;

    HttpRequest request;
    QByteArray requestId;
    QTcpSocket &socket;
    Head head;
    AnswerHistory &history;
    TimerService &timers;
    ReplicaRunLog &log;
    std::function<void(Connection)> ended;
    int resumedAfter = 0;
    AnswerText answer;
    std::size_t partsWritten = 0;
    std::size_t cutPart = 0; ///< if the fault cuts
    qsizetype cutLength = 0; ///< of that part
    bool isSpoilt = false;   ///< bytes that are not the answer's are in front of it or within it
    bool isOver = false;
    TimerSubscription workTimer;
    TimerSubscription deadlineTimer;
};

} // namespace lacewingmux::standin
