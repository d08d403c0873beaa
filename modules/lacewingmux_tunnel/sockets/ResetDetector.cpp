#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <QTcpSocket>

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewingmux {

ResetDetector::~ResetDetector()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

void ResetDetector::watch(const QTcpSocket &socket)
{
    if (this->descriptor < 0)
        this->descriptor = ::dup(static_cast<int>(socket.socketDescriptor()));
}

bool ResetDetector::wasReset() const
{
    if (this->descriptor < 0)
        return true;
    pollfd watched{this->descriptor, POLLIN, 0};
    if (::poll(&watched, 1, 0) < 0)
        return true;
    return (watched.revents & (POLLERR | POLLHUP)) != 0;
}

void closeWithReset(QTcpSocket &socket, bool enabled)
{
    const linger discardUnsent{enabled ? 1 : 0, 0};
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    if (descriptor >= 0
        && ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discardUnsent, sizeof discardUnsent)
                   != 0)
        LogEvent(LogSeverity::Warning, "socketOptionRefused")
                .field("option", "SO_LINGER")
                .field("errno", errno);
}

void resetConnection(QTcpSocket &socket)
{
    closeWithReset(socket, true);
    socket.abort();
}

} // namespace lacewingmux
