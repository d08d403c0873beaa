#pragma once

#include <QByteArray>

namespace lacewingmux::soak {

/** One run of a request, as its replica recorded it. */
struct ReplicaRun
{
    QByteArray run;
    QByteArray outcome; ///< "complete", "callerGone" or "expired"; empty if the run has no end
    int lastEvent = 0;
};

} // namespace lacewingmux::soak
