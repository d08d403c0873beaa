#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_http/server/CallerRequest.h"
#include "lacewingmux_http/server/ServerLimits.h"

#include <QAbstractHttpServer>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

class QHostAddress;
class QHttpServerRequest;
class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

class CallerAnswer;
class CallerConnection;
class MetricsRecorder;
class TimerService;

/**
    The HTTP server for callers and for operators, on Qt's HTTP server.

    Give it a handler, then listen(). The handler gets each whole request with the CallerAnswer
    to fill, at once or later; answers of one connection leave in the order of its requests. The
    limits hold before the library's parser sees a byte. Runs on the thread that made it.
*/
class CallerServer final : public QAbstractHttpServer
{
public:
    using RequestHandler =
            std::function<void(CallerRequest request, const std::shared_ptr<CallerAnswer> &answer)>;

    CallerServer(TimerService &timerServiceToUse, MetricsRecorder &metricsRecorder,
                 const ServerLimits &serverLimits, RequestHandler requestHandler);
    ~CallerServer() override;
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /**
        Starts to accept connections and returns the port; port 0 lets the system choose one.
        Throws LacewingmuxError with ErrorKind::InternalError when the port can't be had.
    */
    std::uint16_t listen(const QHostAddress &address, std::uint16_t port);

    /** Accepts no more connections; those that are open go on. */
    void stopListening();

    /** Lets every connection end with its next answer; for a planned stop. */
    void beginDrain() noexcept
    {
        this->draining = true;
    }
    [[nodiscard]] bool isDraining() const noexcept
    {
        return this->draining;
    }

    /** Tells whether every request that began to arrive is answered and every answer sent. */
    [[nodiscard]] bool isIdle() const;

    [[nodiscard]] int connectionCount() const noexcept
    {
        return static_cast<int>(this->connections.size());
    }
    [[nodiscard]] const ServerLimits &limits() const noexcept
    {
        return this->serverLimits;
    }
    [[nodiscard]] TimerService &timerService() const noexcept
    {
        return this->timers;
    }

    /** Called by a connection with each whole request. */
    void handleCallerRequest(CallerRequest request, const std::shared_ptr<CallerAnswer> &answer);

    /** Called by a connection that has ended. */
    void connectionClosed(CallerConnection &connection);

    /** Counts a request that was refused before it reached the handler. */
    void countRefusal(ErrorKind kind);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    class Listener;

    void accept(Listener &listener, qintptr socketDescriptor);
    void refuseConnection(qintptr socketDescriptor);
    void enforceTimeLimits();

    TimerService &timers;
    MetricsRecorder &metrics;
    ServerLimits serverLimits;
    RequestHandler handler;
    std::unordered_set<CallerConnection *> connections;
    int refusedOpen = 0;
    bool draining = false;
    TimerSubscription sweep;
};

} // namespace lacewingmux
