#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QHostAddress>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

/** One attempt to connect, which tells whether a replica that fell silent can still be reached. */
class ReachabilityProbe
{
public:
    /** Starts to connect; the hook is called once, and not after this object is gone. */
    ReachabilityProbe(const QHostAddress &address, std::uint16_t port, TimerService &timerService,
                      std::function<void(bool reachable)> resultHook);
    ~ReachabilityProbe();
    ReachabilityProbe(const ReachabilityProbe &) = delete;
    ReachabilityProbe &operator=(const ReachabilityProbe &) = delete;

private:
    void finish(bool reachable);

    QTcpSocket *socket;
    std::function<void(bool)> result;
    TimerSubscription timeout;
};

} // namespace lacewingmux
