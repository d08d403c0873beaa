#include "platform-replica/ReplicaCall.h"

#include "lacewingmux_core/time/TimerService.h"
#include "platform-replica/ReplicaRunLog.h"

#include <QTcpSocket>
#include <QUrl>
#include <QUrlQuery>

#include <utility>

namespace lacewingmux::standin {

namespace {

using std::chrono::milliseconds;

int numberOf(const QUrlQuery &query, const char *name)
{
    return query.queryItemValue(QLatin1String(name)).toInt();
}

} // namespace

ReplicaCall::ReplicaCall(HttpRequest httpRequest, QTcpSocket &callerSocket, Head answerHead,
                         TimerService &timerService, ReplicaRunLog &runLog,
                         std::function<void(Connection)> endedHook)
    : request(std::move(httpRequest))
    , requestId(fieldValue(this->request.fields, "Lacewingmux-Request-Id"))
    , socket(callerSocket)
    , head(std::move(answerHead))
    , timers(timerService)
    , log(runLog)
    , ended(std::move(endedHook))
    , lastEvent(fieldValue(this->request.fields, "Last-Event-Id").toInt())
{
    this->begin(QUrlQuery(QUrl::fromEncoded(this->request.target).query()));
}

ReplicaCall::~ReplicaCall()
{
    if (!this->isOver)
        this->log.runEnded(this->head.run, this->requestId, this->lastEvent, "callerGone");
}

void ReplicaCall::begin(const QUrlQuery &query)
{
    this->log.runBegan(this->head.run, this->requestId, this->lastEvent);
    bool hasDeadline = false;
    const qint64 timeLeft =
            fieldValue(this->request.fields, "Lacewingmux-Deadline-Ms").toLongLong(&hasDeadline);
    if (hasDeadline)
        this->deadlineTimer =
                this->timers.after(milliseconds(timeLeft), [this] { this->expire(); });
    this->eventCount = numberOf(query, "events");
    this->interval = milliseconds(numberOf(query, "interval"));
    this->endsAtClose = query.queryItemValue(QStringLiteral("framing")) == QLatin1String("close");
    if (this->eventCount == 0) {
        this->workTimer = this->timers.after(milliseconds(numberOf(query, "work")),
                                             [this] { this->writePlain(); });
        return;
    }
    this->writeHead(this->endsAtClose ? "" : "Transfer-Encoding: chunked\r\n");
    this->workTimer = this->timers.every(this->interval, [this] { this->writeEvent(); });
}

void ReplicaCall::writeHead(const QByteArray &framing)
{
    const bool closes = this->head.closes || this->endsAtClose;
    this->socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Lacewingmux-Request-Id: "
                       + this->requestId + "\r\nLacewingmux-Server-Stamp: " + this->head.run
                       + "\r\n" + this->head.fields + (closes ? "Connection: close\r\n" : "")
                       + framing + "\r\n");
}

void ReplicaCall::writeEvent()
{
    const QByteArray number = QByteArray::number(++this->lastEvent);
    this->writeFramed("id: " + number + "\ndata: " + this->requestId + ' ' + this->head.run + ' '
                      + number + ' ' + QByteArray::number(this->eventCount) + "\n\n");
    if (this->lastEvent < this->eventCount)
        return;
    if (!this->endsAtClose)
        this->socket.write("0\r\n\r\n");
    this->end("complete",
              this->endsAtClose || this->head.closes ? Connection::Closed : Connection::Kept);
}

void ReplicaCall::writeFramed(const QByteArray &text)
{
    if (this->endsAtClose)
        this->socket.write(text);
    else
        this->socket.write(QByteArray::number(text.size(), 16) + "\r\n" + text + "\r\n");
}

void ReplicaCall::writePlain()
{
    const QByteArray body = this->requestId + ' ' + this->head.run + '\n';
    this->writeHead("Content-Length: " + QByteArray::number(body.size()) + "\r\n");
    this->socket.write(body);
    this->end("complete", this->head.closes ? Connection::Closed : Connection::Kept);
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
    this->log.runEnded(this->head.run, this->requestId, this->lastEvent, outcome);
    this->ended(connection);
}

} // namespace lacewingmux::standin
