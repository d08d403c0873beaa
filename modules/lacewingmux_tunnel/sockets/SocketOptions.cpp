#include "lacewingmux_tunnel/sockets/SocketOptions.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <QTcpSocket>

#include <algorithm>
#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewingmux {

namespace {

void setOption(QTcpSocket &socket, int option, int value, const char *name)
{
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    if (::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof value) != 0)
        LogEvent(LogSeverity::Warning, "socketOptionRefused")
                .field("option", name)
                .field("errno", errno);
}

} // namespace

void configureSocket(QTcpSocket &socket, std::chrono::milliseconds unresponsiveTimeout)
{
    socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket.setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(unresponsiveTimeout);
    const int probes = std::max(1, static_cast<int>(seconds.count()) - 1);
    limitUnacknowledgedTime(socket, unresponsiveTimeout);
    setOption(socket, TCP_KEEPIDLE, 1, "TCP_KEEPIDLE");
    setOption(socket, TCP_KEEPINTVL, 1, "TCP_KEEPINTVL");
    setOption(socket, TCP_KEEPCNT, probes, "TCP_KEEPCNT");
}

void limitUnacknowledgedTime(QTcpSocket &socket, std::chrono::milliseconds limit)
{
    setOption(socket, TCP_USER_TIMEOUT, static_cast<int>(limit.count()), "TCP_USER_TIMEOUT");
}

} // namespace lacewingmux
