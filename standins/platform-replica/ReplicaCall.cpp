#include "platform-replica/ReplicaCall.h"

#include "lacewingmux_core/time/TimerService.h"
#include "platform-replica/AnswerHistory.h"
#include "platform-replica/ReplicaRunLog.h"

#include <QTcpSocket>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lacewingmux::standin {

namespace {

using std::chrono::milliseconds;

const QByteArray noAnswer = "\x16\x03\x01 these bytes are no answer\r\n\r\n";

milliseconds timeOf(const QUrlQuery &query, const char *name)
{
    return milliseconds(query.queryItemValue(QLatin1String(name)).toInt());
}

} // namespace

ReplicaCall::ReplicaCall(HttpRequest httpRequest, QTcpSocket &callerSocket, Head answerHead,
                         AnswerHistory &answerHistory, TimerService &timerService,
                         ReplicaRunLog &runLog, std::function<void(Connection)> endedHook)
    : request(std::move(httpRequest))
    , requestId(fieldValue(this->request.fields, "Lacewingmux-Request-Id"))
    , socket(callerSocket)
    , head(std::move(answerHead))
    , history(answerHistory)
    , timers(timerService)
    , log(runLog)
    , ended(std::move(endedHook))
    , resumedAfter(fieldValue(this->request.fields, "Last-Event-Id").toInt())
{
    this->begin(QUrlQuery(QUrl::fromEncoded(this->request.target).query()));
}

ReplicaCall::~ReplicaCall()
{
    if (!this->isOver)
        this->log.runEnded(this->head.run, this->requestId, this->lastEvent(), "callerGone",
                           this->isSpoilt);
}

void ReplicaCall::begin(const QUrlQuery &query)
{
    this->answer = AnswerText::make({this->requestId, this->head.run, this->head.fields,
                                     this->head.closes, this->resumedAfter},
                                    query);
    this->chooseCut();
    this->log.runBegan(this->head.run, this->requestId, this->resumedAfter,
                       nameOf(this->head.fault.kind));
    bool hasDeadline = false;
    const qint64 timeLeft =
            fieldValue(this->request.fields, "Lacewingmux-Deadline-Ms").toLongLong(&hasDeadline);
    if (hasDeadline)
        this->deadlineTimer =
                this->timers.after(milliseconds(timeLeft), [this] { this->expire(); });
    if (this->answer.eventsPerPart == 0) {
        this->workTimer = this->timers.after(timeOf(query, "work"), [this] { this->writePart(); });
        return;
    }
    const milliseconds interval = timeOf(query, "interval") * this->answer.eventsPerPart;
    this->workTimer = this->timers.every(interval, [this] { this->writePart(); });
    this->writePart();
}

void ReplicaCall::chooseCut()
{
    const auto partCount = static_cast<double>(this->answer.parts.size());
    this->cutPart = static_cast<std::size_t>(this->head.fault.part * partCount);
    const auto size = static_cast<double>(this->answer.parts[this->cutPart].size());
    this->cutLength = static_cast<qsizetype>(this->head.fault.place * size);
}

void ReplicaCall::writePart()
{
    if (this->partsWritten == 0)
        this->writeWhatComesBefore();
    const QByteArray &part = this->answer.parts[this->partsWritten];
    if (this->head.fault.replaces()) {
        this->writeNoAnswer();
    } else if (this->head.fault.cuts() && this->partsWritten == this->cutPart) {
        this->socket.write(part.first(this->cutLength));
        this->endCut();
    } else {
        this->socket.write(part);
        if (++this->partsWritten == this->answer.parts.size())
            this->endWhole();
        else if (this->answer.eventsPerPart == 0)
            this->writePart(); // the body of a plain answer, with its head
    }
}

void ReplicaCall::writeNoAnswer()
{
    this->isSpoilt = true;
    this->socket.write(noAnswer);
    this->end("spoilt",
              this->head.fault.kind == FaultKind::NoAnswer ? Connection::Closed : Connection::Kept);
}

void ReplicaCall::writeWhatComesBefore()
{
    QByteArray text = std::exchange(this->history.beforeNext, {});
    if (this->head.fault.kind == FaultKind::NoAnswerBefore)
        text += noAnswer;
    this->isSpoilt = !text.isEmpty() || std::exchange(this->history.hadStrayCopy, false);
    this->socket.write(text);
}

void ReplicaCall::writeWhatComesBehind()
{
    const FaultKind fault = this->head.fault.kind;
    QByteArray text = std::exchange(this->history.behindNext, {});
    const QByteArray copy = this->answer.whole();
    if (fault == FaultKind::TwiceAtOnce)
        text += copy;
    else if (fault == FaultKind::CopyBehindNext)
        this->history.behindNext = copy;
    else if (fault == FaultKind::CopyLater)
        this->history.later = copy;
    else if (fault == FaultKind::CopyBeforeNext)
        this->history.beforeNext = copy;
    else if (fault == FaultKind::CutCopyBefore)
        this->history.beforeNext = copy.first(
                static_cast<qsizetype>(this->head.fault.place * static_cast<double>(copy.size())));
    else if (fault == FaultKind::NoAnswerBehind && !this->answer.endsAtClose)
        text += noAnswer; // without a length it would be part of the answer
    this->history.earlier = copy;
    // Whether an answer was whole can't be known if only the close marks its end.
    this->isSpoilt = this->isSpoilt || (this->answer.endsAtClose && !text.isEmpty());
    this->socket.write(text);
}

void ReplicaCall::endCut()
{
    this->isSpoilt = true;
    FaultKind fault = this->head.fault.kind;
    if (fault == FaultKind::CutFilled && this->history.earlier.isEmpty())
        fault = FaultKind::CutReset;
    if (fault == FaultKind::CutFilled) {
        this->socket.write(this->history.earlier);
        this->end("cutFilled", this->answer.endsAtClose ? Connection::Closed : Connection::Kept);
    } else {
        const bool isReset = fault == FaultKind::CutReset || this->answer.endsAtClose;
        this->end("cut", isReset ? Connection::Reset : Connection::Closed);
    }
}

void ReplicaCall::endWhole()
{
    this->writeWhatComesBehind();
    const bool closes = this->answer.endsAtClose || this->head.closes;
    this->end("complete", closes ? Connection::Closed : Connection::Kept);
}

void ReplicaCall::expire()
{
    this->end("expired", this->head.closesAtDeadline ? Connection::Closed : Connection::Reset);
}

void ReplicaCall::end(const char *outcome, Connection connection)
{
    this->isOver = true;
    this->workTimer.cancel();
    this->deadlineTimer.cancel();
    this->log.runEnded(this->head.run, this->requestId, this->lastEvent(), outcome, this->isSpoilt);
    this->ended(connection);
}

int ReplicaCall::lastEvent() const
{
    const int parts = std::max(0, static_cast<int>(this->partsWritten) - 1);
    return this->resumedAfter + parts * this->answer.eventsPerPart;
}

} // namespace lacewingmux::standin
