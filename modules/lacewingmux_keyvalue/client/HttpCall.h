#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_keyvalue/client/HttpCallResult.h"
#include "lacewingmux_keyvalue/client/HttpVerb.h"

#include <QByteArray>
#include <QNetworkRequest>
#include <QObject>

#include <chrono>
#include <functional>

class QNetworkAccessManager;
class QNetworkReply;

namespace lacewingmux {

class SingleUseBody;
class TimerService;

/**
    One call to the store. Destroying it aborts the call, and its callback is then never called.
    The callback may destroy the call. A POST is sent at most once. A reply of 16 MiB or more ends
    the call as if there were none.
*/
class HttpCall
{
public:
    using Callback = std::function<void(const HttpCallResult &)>;

    /** Starts a POST. */
    HttpCall(QNetworkAccessManager &manager, TimerService &timerService, QNetworkRequest request,
             const QByteArray &content, std::chrono::milliseconds timeout, Callback whenDone);

    /** Starts a call without a body, which may be sent again: GET or DELETE. */
    HttpCall(QNetworkAccessManager &manager, TimerService &timerService,
             const QNetworkRequest &request, HttpVerb verb, std::chrono::milliseconds timeout,
             Callback whenDone);

    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

private:
    void start(TimerService &timerService, std::chrono::milliseconds timeout);
    /** Ends the call if its reply is too long. */
    void checkSize();
    void finish(bool answered);
    [[nodiscard]] HttpCallResult result(bool answered) const;

    QObject context;               ///< ends the signal connections of this call
    SingleUseBody *body = nullptr; ///< null without a body
    QNetworkReply *reply = nullptr;
    Callback callback;
    TimerSubscription timeoutTimer;
};

} // namespace lacewingmux
