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
    One request to a backend server and its answer, sent at most once.

    A call that is not idempotent gets a connection of its own, so that nothing left over on a kept
    connection can be taken for its answer. Cookies, redirects, caches and decompression are off.
    Credentials and hop-by-hop fields are never sent on, whoever left them in.
*/
class HttpExchange final : public BackendRun
{
public:
    /** Starts the exchange. The listener's chunk gets the bytes of the body as they arrive. */
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
    [[nodiscard]] BackendResponse classify();
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
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux
