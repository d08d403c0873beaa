#pragma once

#include "callers/CallKind.h"

#include <QByteArray>

#include <chrono>

namespace lacewingmux::soak {

/** What a caller asks for, before it is sent. */
struct CallWork
{
    CallKind kind = CallKind::Turn;
    std::chrono::milliseconds deadline{0};
    std::chrono::milliseconds pace{0}; ///< between events, or until the plain answer
    int events = 0;
    bool endsAtClose = false; ///< the replica marks the end of the stream by closing
    int resumedAfter = 0;

    /** Returns the text of the request with the id. */
    [[nodiscard]] QByteArray requestText(const QByteArray &requestId) const;
};

} // namespace lacewingmux::soak
