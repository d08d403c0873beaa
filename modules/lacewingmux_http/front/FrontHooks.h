#pragma once

#include "lacewingmux_http/front/AuthenticationResult.h"
#include "lacewingmux_report/burn/BurnRecorder.h"

#include <QByteArray>

#include <functional>

namespace lacewingmux {

/** What a RequestFront asks of other parts. All are called on the front's thread. */
struct FrontHooks
{
    /** Says which team a key belongs to, or throws LacewingmuxError. Asked anew each time. */
    std::function<AuthenticationResult(const QByteArray &presentedKey)> authenticate;

    /** Tells whether this VM can serve; /readyz answers with it. May be left empty. */
    std::function<bool()> isReady;

    /** Returns the body of /metrics. May be left empty. */
    std::function<QByteArray()> metricsText;

    /** Takes each answered request of a team, for the report on service levels. May be empty. */
    std::function<void(const ServedRequest &request)> served;
};

} // namespace lacewingmux
