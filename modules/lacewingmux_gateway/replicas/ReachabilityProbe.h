#pragma once

#include "lacewingmux_tunnel/client/StreamConnector.h"

class QTcpSocket;

namespace lacewingmux {

/** Checks whether an unresponsive replica is still reachable by a single connection attempt. */
class ReachabilityProbe
{
public:
    /** Starts to connect. The hook is called at most once, and never after destruction. */
    ReachabilityProbe(const StreamRoute &streamRoute, TimerService &timerService,
                      StreamConnector::ResultHook resultHook);
    ~ReachabilityProbe();
    ReachabilityProbe(const ReachabilityProbe &) = delete;
    ReachabilityProbe &operator=(const ReachabilityProbe &) = delete;

private:
    QTcpSocket *socket;
    StreamConnector connector;
};

} // namespace lacewingmux
