#include "lacewingmux_gateway/replicas/ReachabilityProbe.h"

#include <QTcpSocket>

#include <utility>

namespace lacewingmux {

ReachabilityProbe::ReachabilityProbe(const StreamRoute &streamRoute, TimerService &timerService,
                                     StreamConnector::ResultHook resultHook)
    : socket(new QTcpSocket)
    , connector(*this->socket, streamRoute, timerService, std::move(resultHook))
{ }

ReachabilityProbe::~ReachabilityProbe()
{
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->socket->abort();
    this->socket->deleteLater();
}

} // namespace lacewingmux
