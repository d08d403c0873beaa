#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendRun.h"

#include <memory>

namespace lacewingmux {

class ConnectionPool;
class TimerService;

/** Runs calls on plain services. Both parameters must outlive the client and its runs. */
class ServiceClient
{
public:
    ServiceClient(ConnectionPool &connectionPool, TimerService &timerService);
    ServiceClient(const ServiceClient &) = delete;
    ServiceClient &operator=(const ServiceClient &) = delete;

    /** Sends the call, at most once. */
    [[nodiscard]] std::unique_ptr<BackendRun> start(const BackendCall &call,
                                                    BackendRunListener listener);

private:
    ConnectionPool &connections;
    TimerService &timers;
};

} // namespace lacewingmux
