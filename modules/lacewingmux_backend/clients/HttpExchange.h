#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendResponse.h"
#include "lacewingmux_backend/clients/BackendRun.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <QPointer>

#include <functional>
#include <memory>

class QNetworkAccessManager;
class QNetworkReply;

namespace lacewingmux {

class ConnectionPool;
class SingleUseBody;
class TimerService;

/**
    One request to a backend server and its response. The request is sent at most once.

    A call that is not idempotent uses a new connection, so that leftover bytes on a kept-alive
    connection cannot be mistaken for its response. Cookies, redirects, caches and decompression are
    disabled. Credentials and hop-by-hop fields are never forwarded, even if the call contains them.
*/
class HttpExchange final : public BackendRun
{
public:
    /** Starts the exchange. For a response with status 200, the listener's chunk receives the bytes
        of the body as they arrive, not split into events. */
    HttpExchange(ConnectionPool &connections, TimerService &timers, const BackendCall &call,
                 BackendRunListener runListener);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

private:
    void send(const BackendCall &call);
    void connectHandlers(TimerService &timers, const BackendCall &call);
    void readBody();
    void abortWith(BackendFailure reason);
    void finish();
    [[nodiscard]] BackendResponse makeResponse();
    void readStatusAndHeaders(BackendResponse &response) const;
    [[nodiscard]] bool isResponseComplete() const;
    [[nodiscard]] bool isForAnotherRequest() const;

    BackendRunListener listener;
    QString requestId;
    std::int64_t maxResponseBytes;
    std::shared_ptr<QNetworkAccessManager> manager;
    QPointer<QNetworkReply> reply;
    SingleUseBody *body = nullptr; ///< owned by the reply
    QByteArray received;
    BackendFailure abortReason = BackendFailure::None;
    TimerSubscription timeout;
    TimerSubscription connectTimeout;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux
