#include "replica/PortReservation.h"

#include <cerrno>
#include <system_error>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewingmux {

PortReservation::PortReservation(const QHostAddress &address)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int enabled = 1;
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(address.toIPv4Address());
    auto *const generic = reinterpret_cast<sockaddr *>(&bound);
    socklen_t size = sizeof bound;
    const bool succeeded =
            this->descriptor >= 0
            && ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled)
                       == 0
            && ::bind(this->descriptor, generic, size) == 0
            && ::getsockname(this->descriptor, generic, &size) == 0;
    if (!succeeded)
        throw std::system_error(errno, std::generic_category(), "reserving a port failed");
    this->reservedPort = ntohs(bound.sin_port);
}

PortReservation::~PortReservation()
{
    ::close(this->descriptor);
}

} // namespace lacewingmux
