#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QHostAddress>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

/** Checks whether an unresponsive replica is still reachable by a single connection attempt. */
class ReachabilityProbe
{
public:
    /** Starts to connect. The hook is called at most once, and never after destruction. */
    ReachabilityProbe(const QHostAddress &address, std::uint16_t port, TimerService &timerService,
                      std::function<void(bool reachable)> resultHook);
    ~ReachabilityProbe();
    ReachabilityProbe(const ReachabilityProbe &) = delete;
    ReachabilityProbe &operator=(const ReachabilityProbe &) = delete;

private:
    void finish(bool reachable);

    QTcpSocket *socket;
    std::function<void(bool)> resultCallback;
    TimerSubscription timeout;
};

} // namespace lacewingmux
