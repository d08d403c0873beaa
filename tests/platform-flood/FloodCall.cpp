#include "FloodCall.h"

#include "LoopbackSocket.h"

#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/http/ResponseDecoder.h"

namespace lacewingmux::flood {

namespace {

using std::chrono::milliseconds;
using Clock = LoopbackSocket::Clock;

constexpr milliseconds callTime{5000};
constexpr milliseconds usualTime{1200};

} // namespace

FloodCall FloodCall::ofKind(const FloodKind &kind, const QByteArray &requestId)
{
    const bool isPlain = kind.route == FloodKind::Route::Plain;
    return {isPlain ? "GET" : "POST", kind.path(), requestId, callTime,
            kind.route == FloodKind::Route::Turn};
}

FloodCall FloodCall::usual(const QByteArray &requestId)
{
    return {"GET", "/look/x", requestId, usualTime, false};
}

FloodCall::Outcome FloodCall::perform(const QHostAddress &address, std::uint16_t port,
                                      milliseconds limit) const
{
    const Clock::time_point start = Clock::now();
    Outcome outcome;
    ResponseDecoder decoder(false);
    const LoopbackSocket socket = LoopbackSocket::connectTo(address, port);
    bool isOpen = socket.isOpen() && socket.send(this->text(), start + limit);
    while (isOpen && decoder.state() < DecodeState::Complete) {
        const QByteArray bytes = socket.receive(start + limit);
        isOpen = !bytes.isEmpty();
        decoder.append(bytes);
        if (decoder.state() == DecodeState::Body || decoder.state() == DecodeState::Complete)
            outcome.status = decoder.head().status;
        static_cast<void>(decoder.takeBody());
    }
    outcome.isComplete = decoder.state() == DecodeState::Complete;
    outcome.duration = std::chrono::floor<milliseconds>(Clock::now() - start);
    return outcome;
}

QByteArray FloodCall::text() const
{
    const QByteArray body = this->method == "GET" ? QByteArray() : "input of " + this->requestId;
    QByteArray head = this->method + ' ' + this->path
                      + " HTTP/1.1\r\nHost: flood.example\r\nLacewingmux-Request-Id: "
                      + this->requestId + "\r\nLacewingmux-Deadline-Ms: "
                      + QByteArray::number(static_cast<qint64>(this->deadline.count())) + "\r\n";
    if (this->isTurn)
        head += "Lacewingmux-Program-Id: p" + this->requestId + "\r\nLacewingmux-Session-Id: s"
                + this->requestId + "\r\nLacewingmux-Token-Budget: 100000\r\n"
                + "Lacewingmux-Token-Usage: 100,120\r\n";
    if (!body.isEmpty())
        head += "Content-Length: " + QByteArray::number(body.size()) + "\r\n";
    return head + "\r\n" + body;
}

} // namespace lacewingmux::flood
