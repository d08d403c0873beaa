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

class MemoryAccount;

/**
    One connection of a caller. It delivers one request at a time; a pipelined request waits until
    the response to the previous one has been written.

    A response with a length is written at once. A stream is written in chunks as data arrives, and
    is complete only after endStream(): abort() resets the connection, so that a truncated response
    never appears complete.
*/
class IngressConnection
{
public:
    /** Callbacks to the owner of the connection. */
    struct Hooks
    {
        std::function<void(HttpRequest request)> requestArrived;
        /** The caller disconnected while its request was being served; closed() follows. */
        std::function<void()> callerDisconnected;
        std::function<void()> closed; ///< no callback follows
    };

    /** Takes ownership of the connected socket. */
    IngressConnection(QTcpSocket *callerSocket, const HttpLimits &httpLimits,
                      std::shared_ptr<MemoryAccount> callerMemory, TimerService &timerService,
                      Hooks connectionHooks);
    ~IngressConnection();
    IngressConnection(const IngressConnection &) = delete;
    IngressConnection &operator=(const IngressConnection &) = delete;

    /** Sets the limits from now on. What the caller is about to send, or the time for which it is
        idle already, is only given more room by them. */
    void setLimits(const HttpLimits &httpLimits);

    /** Starts reading; requestArrived is not called before this. */
    void start();

    /** Writes a complete response. A stream that has begun is broken off instead. */
    void sendResponse(int status, const QByteArray &reason, HttpFields fields,
                      const QByteArray &body);

    /** Writes the head of a streamed response together with its first data. A stream that has begun
        is broken off instead. */
    void beginStream(int status, const QByteArray &reason, HttpFields fields,
                     const QByteArray &firstChunk);

    /** Writes data of a streamed response. */
    void sendChunk(const QByteArray &data);

    /** Ends a streamed response as complete. */
    void endStream();

    /** Resets the connection, which leaves the current response incomplete. */
    void abort();

    /** Closes the connection if a request took too long to arrive, it was idle for too long, or the
        caller no longer reads a response that is complete. */
    void enforceTimeouts();

    /** Closes the connection after the current response or, if no request is active, after the next
        response. Requests that have arrived by then are answered first. */
    void closeAfterResponse();

    /** Closes the connection unless a request is active or partly received, or it became idle so
        recently that the caller may be about to send the next request. */
    void closeIfIdle();

    /** Refuses a request that has arrived in part, and closes the connection; the request will not
        run. */
    void refusePartialRequest();

    [[nodiscard]] bool isServing() const noexcept
    {
        return this->state == State::Serving || this->state == State::Streaming;
    }

    /** Returns the number of response bytes that are not yet written to the network. */
    [[nodiscard]] qint64 unsentBytes() const;

private:
    enum class State : std::uint8_t { Reading, Serving, Streaming, Closing, Closed };

    void readAvailable();
    /** Begins the time of a request, or an idle time. */
    void startWaiting();
    void processDecoderState();
    void dispatchRequest();
    void sendErrorStatus(int status);
    void writeNow(const QByteArray &text);
    /** Records the bytes that the connection takes; returns whether it may take them. */
    [[nodiscard]] bool accountMemory();
    void abortUnlessRead();
    void finishResponse();
    void lingerAndClose();
    void closeNow();
    void handleDisconnect();
    /** Tells whether the head of a response may be written; breaks a stream off that has begun. */
    [[nodiscard]] bool mayBeginResponse();
    /** Returns whether bytes of the request after the current one have arrived. */
    [[nodiscard]] bool hasNextRequest() const;
    [[nodiscard]] HttpFields withConnectionField(HttpFields fields);

    QTcpSocket *socket;
    HttpLimits limits;
    HttpLimits waitLimits; ///< of the present request or idle time
    std::shared_ptr<MemoryAccount> memory;
    qsizetype accountedBytes = 0;
    qsizetype servedRequestBytes = 0; ///< of the body of the request that is being served
    TimerService &timers;
    Hooks hooks;
    RequestDecoder decoder;
    State state = State::Reading;
    bool keepAlive = true;
    bool closeRequested = false;
    bool closeAnnounced = false; ///< this response carries "Connection: close"
    bool continueSent = false;
    bool isHeadMethod = false;
    TimerService::SteadyTime readingSince; ///< start of the idle time or of the current request
    TimerService::SteadyTime lastWritten;  ///< when the caller last took bytes of a response
    TimerSubscription lingerTimer;
};

} // namespace lacewingmux
