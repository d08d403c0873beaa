#include "callers/SoakCaller.h"

#include "callers/StreamEvent.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"

#include <QNetworkProxy>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds reconnectPause{200};
constexpr milliseconds connectLimit{1000};
constexpr milliseconds patience{1500}; // beyond a call's deadline

} // namespace

SoakCaller::SoakCaller(QByteArray callerName, bool makesStreams, std::uint32_t seed,
                       TimerService &timerService, Hooks callerHooks)
    : name(std::move(callerName))
    , streams(makesStreams)
    , random(seed)
    , timers(timerService)
    , hooks(std::move(callerHooks))
{ }

SoakCaller::~SoakCaller()
{
    this->dropConnection();
}

void SoakCaller::start()
{
    this->pauseTimer =
            this->timers.after(milliseconds(this->draw(0, 1500)), [this] { this->beginCall(); });
}

void SoakCaller::finish()
{
    this->isFinishing = true;
}

void SoakCaller::planNext()
{
    // Some callers keep a connection idle for long, within four fifths of the least idle limit.
    const bool isLong = this->draw(1, 12) == 1;
    const int pause = isLong ? this->draw(500, 2300) : this->draw(0, this->streams ? 150 : 120);
    this->pauseTimer = this->timers.after(milliseconds(pause), [this] { this->beginCall(); });
}

CallWork SoakCaller::drawWork()
{
    if (this->repetition)
        return *std::exchange(this->repetition, std::nullopt);
    if (this->streams)
        return this->drawStream();
    CallWork next;
    next.kind = this->draw(0, 1) == 0 ? CallKind::OnceOnly : CallKind::Repeatable;
    next.deadline = milliseconds(next.kind == CallKind::OnceOnly ? 3000 : 2000);
    next.pace = milliseconds(this->draw(5, 120));
    return next;
}

CallWork SoakCaller::drawStream()
{
    CallWork next;
    next.kind = this->draw(0, 1) == 0 ? CallKind::Turn : CallKind::ResumableStream;
    next.deadline = milliseconds(5000);
    next.pace = milliseconds(this->draw(25, 150));
    next.events = std::max(2, this->draw(500, 3500) / static_cast<int>(next.pace.count()));
    constexpr const char *framings[]{"", "batches", "length", "close", "close"};
    next.framing = framings[this->draw(0, 4)];
    next.padding = this->draw(0, 2) == 0 ? this->draw(20, 90) : 0;
    return next;
}

void SoakCaller::beginCall()
{
    if (this->isFinishing)
        return;
    this->work = this->drawWork();
    CallRecord call;
    call.requestId = this->work.keptId.isEmpty()
                             ? this->name + '-' + QByteArray::number(++this->callCount)
                             : this->work.keptId;
    call.kind = this->work.kind;
    call.deadline = this->work.deadline;
    call.events = this->work.events;
    call.padding = this->work.padding;
    call.resumedAfter = this->work.resumedAfter;
    this->current = call;
    if (this->socket && this->socket->state() == QAbstractSocket::ConnectedState)
        this->send();
    else
        this->connectToVm();
}

void SoakCaller::connectToVm()
{
    this->dropConnection();
    this->target = this->hooks.chooseVm();
    this->socket = std::make_unique<QTcpSocket>();
    this->socket->setProxy(QNetworkProxy::NoProxy);
    QTcpSocket *opened = this->socket.get();
    QObject::connect(opened, &QTcpSocket::connected, opened, [this] { this->send(); });
    QObject::connect(opened, &QTcpSocket::readyRead, opened, [this] { this->read(); });
    QObject::connect(opened, &QTcpSocket::errorOccurred, opened,
                     [this](QAbstractSocket::SocketError error) {
                         this->handleClose(error == QAbstractSocket::RemoteHostClosedError);
                     });
    this->limitTimer = this->timers.after(connectLimit, [this] { this->handleClose(false); });
    opened->connectToHost(this->target.address, this->target.port);
}

void SoakCaller::send()
{
    CallRecord &call = *this->current;
    call.vm = this->target.vm;
    call.onKeptConnection = this->callsOnConnection > 0;
    call.sentAt = this->timers.now();
    ++this->callsOnConnection;
    this->decoder = std::make_unique<ResponseDecoder>(false);
    this->socket->write(this->work.requestText(call.requestId));
    this->limitTimer = this->timers.after(call.deadline + patience,
                                          [this] { this->endCall(CallEnd::Abandoned); });
    if (call.kind == CallKind::ResumableStream && this->draw(1, 6) == 1)
        this->giveUpTimer = this->timers.after(milliseconds(this->draw(100, 2000)),
                                               [this] { this->endCall(CallEnd::Abandoned); });
}

void SoakCaller::read()
{
    const QByteArray bytes = this->socket->readAll();
    if (!this->current) {
        this->recordStrayBytes(bytes);
        return;
    }
    this->decoder->append(bytes);
    this->takeAnswer();
    if (this->decoder->state() == DecodeState::Complete)
        this->endCall(CallEnd::Complete);
    else if (this->decoder->state() > DecodeState::Complete)
        this->endCall(CallEnd::Malformed);
}

void SoakCaller::recordStrayBytes(const QByteArray &bytes)
{
    if (this->last) {
        this->last->strayBytes = bytes;
        this->hooks.record(*this->last);
    }
    this->dropConnection();
}

void SoakCaller::takeAnswer()
{
    const DecodeState state = this->decoder->state();
    if (state != DecodeState::Body && state != DecodeState::Complete)
        return;
    this->current->status = this->decoder->head().status;
    this->current->fields = this->decoder->head().fields;
    this->current->body += this->decoder->takeBody();
    if (state == DecodeState::Complete)
        this->current->strayBytes = this->decoder->takeTrailingBytes();
}

void SoakCaller::handleClose(bool inOrder)
{
    if (!this->current) {
        this->dropConnection();
        return;
    }
    if (this->callsOnConnection == 0) {
        this->handleNotConnected();
        return;
    }
    if (inOrder && this->decoder->state() != DecodeState::Empty) {
        this->decoder->appendEnd();
        this->takeAnswer();
    }
    if (inOrder && this->decoder->state() == DecodeState::Complete)
        this->endCall(CallEnd::Complete);
    else
        this->endCall(inOrder ? CallEnd::Closed : CallEnd::Reset);
}

void SoakCaller::handleNotConnected()
{
    this->limitTimer.cancel();
    this->dropConnection();
    if (this->isFinishing)
        this->current.reset();
    else
        this->pauseTimer = this->timers.after(reconnectPause, [this] { this->connectToVm(); });
}

void SoakCaller::endCall(CallEnd end)
{
    this->limitTimer.cancel();
    this->giveUpTimer.cancel();
    this->current->end = end;
    this->current->endedAt = this->timers.now();
    this->last = *std::exchange(this->current, std::nullopt);
    this->hooks.record(*this->last);
    const bool keeps = end == CallEnd::Complete && this->decoder->head().keepAlive
                       && !this->decoder->head().bodyEndsAtClose;
    this->decoder.reset();
    this->repeatIfFailed(*this->last);
    if (!keeps)
        this->dropConnection();
    this->planNext();
}

void SoakCaller::repeatIfFailed(const CallRecord &ended)
{
    if (ended.kind == CallKind::ResumableStream)
        this->resumeStream(ended);
    else if (ended.kind == CallKind::Repeatable)
        this->repeatPlain(ended);
    if (this->repetition)
        this->repetition->keptId = this->draw(0, 1) == 0 ? ended.requestId : QByteArray();
}

void SoakCaller::resumeStream(const CallRecord &ended)
{
    const int lastEvent = std::max(ended.resumedAfter, StreamEvent::lastNumber(ended.body));
    if (ended.end == CallEnd::Complete || lastEvent == 0 || lastEvent >= ended.events)
        return;
    this->repetition = this->work;
    this->repetition->resumedAfter = lastEvent;
}

void SoakCaller::repeatPlain(const CallRecord &ended)
{
    const bool isWhole = ended.end == CallEnd::Complete && ended.status == 200;
    if (!isWhole && this->draw(0, 1) == 0)
        this->repetition = this->work;
}

void SoakCaller::dropConnection()
{
    this->callsOnConnection = 0;
    if (!this->socket)
        return;
    QObject::disconnect(this->socket.get(), nullptr, nullptr, nullptr);
    this->socket->abort();
    this->socket.release()->deleteLater();
}

int SoakCaller::draw(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(this->random);
}

} // namespace lacewingmux::soak
