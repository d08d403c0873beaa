#include "lacewingmux_tunnel/sockets/PeerMonitor.h"

#include "lacewingmux_tunnel/sockets/SocketOptions.h"

#include <QTcpSocket>

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// A single segment or its acknowledgement may be lost on the way.
constexpr int minimumUnanswered = 2;
// The system may have sent the only probe of a long interval just before a check.
constexpr milliseconds confirmationDelay{300};

} // namespace

PeerMonitor::PeerMonitor(QTcpSocket &watchedSocket, TimerService &timerService,
                         milliseconds lossTimeout, std::function<void()> peerLostHook)
    : socket(watchedSocket)
    , timers(timerService)
    , timeout(lossTimeout)
    , peerLost(std::move(peerLostHook))
{
    configureSocket(this->socket, this->timeout);
    Contact contact;
    if (!this->readContact(contact))
        return; // TCP_USER_TIMEOUT takes its place
    limitUnacknowledgedTime(this->socket, milliseconds(0));
    this->scheduleCheck(this->timeout);
}

PeerMonitor::~PeerMonitor() = default;

bool PeerMonitor::readContact(Contact &contact) const
{
    tcp_info information{};
    socklen_t length = sizeof information;
    if (::getsockopt(static_cast<int>(this->socket.socketDescriptor()), IPPROTO_TCP, TCP_INFO,
                     &information, &length)
                != 0
        || length < sizeof information || information.tcpi_state == 0)
        return false; // not known, or not filled in
    contact.age =
            milliseconds(std::min(information.tcpi_last_ack_recv, information.tcpi_last_data_recv));
    const bool unacknowledged =
            information.tcpi_unacked > 0 && information.tcpi_retransmits >= minimumUnanswered;
    contact.awaited = unacknowledged || information.tcpi_probes >= minimumUnanswered;
    return true;
}

void PeerMonitor::check()
{
    Contact contact;
    if (!this->readContact(contact))
        return; // the connection has ended
    const bool lost = contact.awaited && contact.age >= this->timeout;
    if (lost && std::exchange(this->suspected, true)) {
        const auto hook = std::exchange(this->peerLost, nullptr); // it may destroy this object
        hook();
        return;
    }
    this->suspected = lost;
    this->scheduleCheck(lost ? confirmationDelay
                             : std::max(confirmationDelay, this->timeout - contact.age));
}

void PeerMonitor::scheduleCheck(milliseconds delay)
{
    this->timer = this->timers.after(delay, [this] { this->check(); });
}

} // namespace lacewingmux
