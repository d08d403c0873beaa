#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_platform/client/HttpCallResult.h"

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
    One POST that is sent at most once. Destroying it aborts the call, and its callback is then
    never called. The callback may destroy the call.
*/
class HttpCall
{
public:
    using Callback = std::function<void(const HttpCallResult &)>;

    HttpCall(QNetworkAccessManager &manager, TimerService &timerService, QNetworkRequest request,
             const QByteArray &content, std::chrono::milliseconds timeout, Callback whenDone);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

private:
    void finish(bool answered);
    [[nodiscard]] HttpCallResult result(bool answered) const;

    QObject context; ///< ends the signal connections of this call
    SingleUseBody *body;
    QNetworkReply *reply;
    Callback callback;
    TimerSubscription timeoutTimer;
};

} // namespace lacewingmux
