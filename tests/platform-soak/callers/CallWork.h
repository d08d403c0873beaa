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
    QByteArray framing; ///< of a stream; chunks of one event if it is empty
    int padding = 0;    ///< times that each event names the request again
    int resumedAfter = 0;
    QByteArray keptId; ///< of the attempt that this one repeats, if the id stays

    /** Returns the text of the request with the id. */
    [[nodiscard]] QByteArray requestText(const QByteArray &requestId) const;
};

} // namespace lacewingmux::soak
