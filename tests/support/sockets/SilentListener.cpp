#include "sockets/SilentListener.h"

#include <criterion/criterion.h>

#include <tuple>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr int maximumQueue = 16;            // far above what a backlog of zero queues
constexpr int connectWaitMilliseconds = 50; // far above a handshake on loopback

} // namespace

SilentListener::SilentListener()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    this->descriptors.push_back(listener);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t length = sizeof address;
    cr_assert_eq(::bind(listener, generic, length), 0);
    cr_assert_eq(::listen(listener, 0), 0);
    cr_assert_eq(::getsockname(listener, generic, &length), 0);
    this->listeningPort = ntohs(address.sin_port);
    for (int number = 0; number < maximumQueue; ++number) {
        const int queued = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        this->descriptors.push_back(queued);
        std::ignore = ::connect(queued, generic, length); // in progress
        pollfd watched{queued, POLLOUT, 0};
        if (::poll(&watched, 1, connectWaitMilliseconds) == 0)
            return; // the queue is full
    }
    cr_assert(false, "the listener accepts all connections");
}

SilentListener::~SilentListener()
{
    for (const int descriptor : this->descriptors)
        ::close(descriptor);
}

QHostAddress SilentListener::address() const
{
    return QHostAddress(QHostAddress::LocalHost);
}

} // namespace lacewingmux
