#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/RequestDecoder.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

/**
    One connection of a caller. It hands over one request at a time and takes its answer; a
    request that came behind it waits until that answer has been written.

    Answers with a length are written as a whole. A stream is written in chunks as its parts come,
    and only endStream() makes it complete: abort() resets the connection, so that an answer that
    broke off never looks whole.
*/
class IngressConnection
{
public:
    /** What the owner of the connection is told. */
    struct Hooks
    {
        std::function<void(HttpRequest request)> requestArrived;
        std::function<void()> callerLeft; ///< while its request was being served
        std::function<void()> closed;     ///< nothing is called any more
    };

    /** Takes over the socket, which is connected. */
    IngressConnection(QTcpSocket *callerSocket, const HttpLimits &httpLimits,
                      TimerService &timerService, Hooks connectionHooks);
    ~IngressConnection();
    IngressConnection(const IngressConnection &) = delete;
    IngressConnection &operator=(const IngressConnection &) = delete;

    /** Starts reading. */
    void start();

    /** Writes a whole answer. */
    void sendAnswer(int status, const QByteArray &reason, HttpFields fields,
                    const QByteArray &body);

    /** Writes the head of a streamed answer together with its first part. */
    void beginStream(int status, const QByteArray &reason, HttpFields fields,
                     const QByteArray &firstPart);

    /** Writes a part of a streamed answer. */
    void sendPart(const QByteArray &part);

    /** Ends a streamed answer as complete. */
    void endStream();

    /** Resets the connection: the answer under way is not complete. */
    void abort();

    /** Closes connections that took too long to send a head or were idle for too long. */
    void enforceTimeouts();

    /** Makes the answer under way, or the next one, the connection's last. */
    void closeAfterAnswer();

    /** Closes the connection if no request is under way or likely to come at once. */
    void closeIfIdle();

    [[nodiscard]] bool isServing() const noexcept
    {
        return this->state == State::Serving || this->state == State::Streaming;
    }

    /** Returns how many bytes of answers the caller has not taken yet. */
    [[nodiscard]] qint64 unsentBytes() const;

private:
    enum class State : std::uint8_t { Reading, Serving, Streaming, Closing, Closed };

    void readAvailable();
    void examine();
    void handOver();
    void refuse(int status);
    void writeNow(const QByteArray &text);
    void finishAnswer();
    void lingerAndClose();
    void closeAtOnce();
    void handleDisconnect();
    [[nodiscard]] HttpFields withConnectionField(HttpFields fields);

    QTcpSocket *socket;
    HttpLimits limits;
    TimerService &timers;
    Hooks hooks;
    RequestDecoder decoder;
    State state = State::Reading;
    bool keepAlive = true;
    bool lastAnswer = false;
    bool closeAnnounced = false; ///< the caller knows that this answer is the last
    bool continueSent = false;
    bool headRequest = false;
    TimerService::SteadyTime waitingSince; ///< since when it is idle or reading a request
    TimerSubscription linger;
};

} // namespace lacewingmux
