#include "LoopbackSocket.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace lacewingmux::flood {

namespace {

using std::chrono::milliseconds;

constexpr int listenQueue = 256;
constexpr qsizetype receiveBytes = qsizetype{64} * 1024;

sockaddr_in nativeAddress(const QHostAddress &address, std::uint16_t port)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(port);
    native.sin_addr.s_addr = htonl(address.toIPv4Address());
    return native;
}

int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval connectLimit{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &connectLimit, sizeof connectLimit);
    return descriptor;
}

} // namespace

LoopbackSocket::LoopbackSocket(int openDescriptor)
    : descriptor(openDescriptor)
{ }

LoopbackSocket::~LoopbackSocket()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

LoopbackSocket::LoopbackSocket(LoopbackSocket &&other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
{ }

LoopbackSocket LoopbackSocket::connectTo(const QHostAddress &address, std::uint16_t port)
{
    LoopbackSocket socket(openSocket());
    const sockaddr_in native = nativeAddress(address, port);
    if (::connect(socket.descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native)
        != 0)
        return LoopbackSocket();
    return socket;
}

LoopbackSocket LoopbackSocket::listen()
{
    LoopbackSocket socket(openSocket());
    const sockaddr_in native = nativeAddress(QHostAddress(QHostAddress::LocalHost), 0);
    if (::bind(socket.descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
        || ::listen(socket.descriptor, listenQueue) != 0)
        return LoopbackSocket();
    return socket;
}

std::uint16_t LoopbackSocket::port() const
{
    sockaddr_in native{};
    socklen_t length = sizeof native;
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&native), &length);
    return ntohs(native.sin_port);
}

LoopbackSocket LoopbackSocket::accept(milliseconds time) const
{
    if (!this->waitFor(POLLIN, Clock::now() + time))
        return LoopbackSocket();
    return LoopbackSocket(::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC));
}

bool LoopbackSocket::send(const QByteArray &bytes, Clock::time_point deadline) const
{
    qsizetype sent = 0;
    while (sent < bytes.size()) {
        if (!this->waitFor(POLLOUT, deadline))
            return false;
        const ssize_t count =
                ::send(this->descriptor, bytes.constData() + sent,
                       static_cast<std::size_t>(bytes.size() - sent), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0)
            return false;
        sent += count;
    }
    return true;
}

QByteArray LoopbackSocket::receive(Clock::time_point deadline) const
{
    if (!this->waitFor(POLLIN, deadline))
        return {};
    QByteArray bytes(receiveBytes, Qt::Uninitialized);
    const ssize_t count =
            ::recv(this->descriptor, bytes.data(), static_cast<std::size_t>(bytes.size()), 0);
    bytes.resize(std::max<ssize_t>(count, 0));
    return bytes;
}

void LoopbackSocket::shutDown() const
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

bool LoopbackSocket::waitFor(short events, Clock::time_point deadline) const
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now());
    pollfd watched{this->descriptor, events, 0};
    return ::poll(&watched, 1, static_cast<int>(std::max<milliseconds::rep>(left.count(), 0))) > 0;
}

} // namespace lacewingmux::flood
