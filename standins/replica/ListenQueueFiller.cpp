#include "replica/ListenQueueFiller.h"

#include <tuple>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr int maximumConnections = 256;
constexpr int connectWaitMilliseconds = 50; // far above a handshake on loopback

} // namespace

ListenQueueFiller::ListenQueueFiller(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    for (int number = 0; number < maximumConnections && !this->full; ++number) {
        const int queued = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        this->descriptors.push_back(queued);
        std::ignore = ::connect(queued, reinterpret_cast<const sockaddr *>(&address),
                                sizeof address); // in progress
        pollfd watched{queued, POLLOUT, 0};
        this->full = ::poll(&watched, 1, connectWaitMilliseconds) == 0;
    }
}

ListenQueueFiller::~ListenQueueFiller()
{
    for (const int descriptor : this->descriptors)
        ::close(descriptor);
}

} // namespace lacewingmux
