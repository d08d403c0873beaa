#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendResponse.h"
#include "lacewingmux_backend/clients/BackendRun.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <functional>
#include <memory>
#include <optional>

namespace lacewingmux {

class ConnectionPool;
class ReplicaConnection;
class TimerService;
enum class ExchangeFailure : std::uint8_t;
struct HttpResponseHead;

/**
    One request to a backend server and its response. The request is sent at most once.

    It uses a ReplicaConnection and not QNetworkAccessManager, which may send a request again by
    itself and writes it whenever the connection is established, even after a pause of the process.

    A call that is not idempotent uses a new connection, so that leftover bytes on a kept-alive
    connection cannot be mistaken for its response. A connection is kept only after a success that
    names its request, so that a late second copy of it can be told from the next response.
    Redirects are not followed and responses are not
    decompressed. Credentials and hop-by-hop fields are never forwarded, even if the call contains
    them.
*/
class HttpExchange final : public BackendRun
{
public:
    /** Starts the exchange. For an event stream with status 200, the listener's chunk receives the
        bytes of the body as they arrive, not split into events. */
    HttpExchange(ConnectionPool &connectionPool, TimerService &timerService,
                 const BackendCall &call, BackendRunListener runListener);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

private:
    void send(const BackendCall &call);
    [[nodiscard]] bool maySend(std::optional<TimerService::SteadyTime> sendBefore);
    void readHead(const HttpResponseHead &head);
    void readBody(const QByteArray &bytes);
    [[nodiscard]] bool isEventStream() const;
    [[nodiscard]] bool mayKeepConnection() const;
    /** Returns why the body of a complete response is not a whole answer, or null. */
    [[nodiscard]] const char *bodyFault() const;
    void completeResponse();
    void exchangeFailed(ExchangeFailure reason);
    void timedOut();
    /** Closes the connection and reports the failure. */
    void abortWith(BackendFailure reason, Executed executed, const QString &message);
    /** Reports the response on the next turn of the event loop, so that the exchange cannot finish
        before the constructor returns. */
    void finishSoon();
    void finish();

    BackendRunListener listener;
    ConnectionPool &connections;
    TimerService &timers;
    QUrl server;
    QByteArray requestId;
    std::int64_t maxResponseBytes;
    std::unique_ptr<ReplicaConnection> connection;
    BackendResponse response;
    bool isIdempotent;
    bool sent = false; ///< the request was written, at least in part
    bool connectedTooLate = false;
    QByteArray contentType;
    bool bodyEndsAtClose = false;
    bool isMarked = false;   ///< the response names a request
    bool mismatched = false; ///< the response names another request
    bool finishing = false;  ///< the response is decided
    TimerSubscription timeout;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux
