#include "BlockingCaller.h"

#include <QtGlobal>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace lacewingmux {

BlockingCaller::BlockingCaller(std::uint16_t port)
    : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int enabled = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
        != 0)
        qFatal("cannot connect to port %d", port);
}

BlockingCaller::~BlockingCaller()
{
    ::close(this->descriptor);
}

void BlockingCaller::send(const QByteArray &request) const
{
    if (::send(this->descriptor, request.constData(), static_cast<std::size_t>(request.size()),
               MSG_NOSIGNAL)
        != request.size())
        qFatal("cannot send");
}

void BlockingCaller::receive(const QByteArray &end)
{
    constexpr std::size_t bufferBytes = 4096;
    std::array<char, bufferBytes> buffer{};
    this->answer.clear();
    while (!this->answer.endsWith(end)) {
        const ssize_t size = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            qFatal("no answer");
        this->answer.append(buffer.data(), size);
    }
}

} // namespace lacewingmux
