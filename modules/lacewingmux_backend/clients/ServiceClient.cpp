#include "lacewingmux_backend/clients/ServiceClient.h"

#include "lacewingmux_backend/clients/HttpExchange.h"

#include <utility>

namespace lacewingmux {

ServiceClient::ServiceClient(ConnectionPool &connectionPool, TimerService &timerService)
    : connections(connectionPool)
    , timers(timerService)
{ }

std::unique_ptr<BackendRun> ServiceClient::start(const BackendCall &call,
                                                 BackendRunListener listener)
{
    return std::make_unique<HttpExchange>(this->connections, this->timers, call,
                                          std::move(listener));
}

} // namespace lacewingmux
