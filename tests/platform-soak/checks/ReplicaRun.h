#pragma once

#include <QByteArray>

#include <chrono>

namespace lacewingmux::soak {

/** One run of a request, as its replica recorded it. */
struct ReplicaRun
{
    QByteArray run;
    QByteArray outcome; ///< "complete", "cut", "callerGone" and others; empty if the run has no end
    int lastEvent = 0;
    QByteArray fault;      ///< how the answer was to be spoilt; empty if it wasn't
    bool isSpoilt = false; ///< foreign bytes came before or in the answer, or some of it never came
    std::chrono::milliseconds beganAt{0}; ///< by the wall clock
};

} // namespace lacewingmux::soak
