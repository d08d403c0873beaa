#pragma once

#include "Time.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port, int backlog = 512)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

inline bool isPortFree(const std::string &ip, int port)
{
    const int descriptor = listenOn(ip, port);
    if (descriptor < 0)
        return false;
    ::close(descriptor);
    return true;
}

inline void resetClose(int descriptor)
{
    const linger discard{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    ::close(descriptor);
}

/** Connects within the time; -1 on failure. */
inline int connectTo(const std::string &ip, int port, double timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(ip, port);
    int result =
            ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd watched{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (::poll(&watched, 1, static_cast<int>(timeout * 1000)) == 1
            && ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0)
            result = 0;
    }
    if (result != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

inline bool writeAll(int descriptor, const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count =
                ::send(descriptor, text.data() + written, text.size() - written, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

enum class ReadEnd { Data, Closed, Reset, Timeout };

inline ReadEnd readSome(int descriptor, std::string &buffer, double timeout)
{
    pollfd watched{descriptor, POLLIN, 0};
    const int ready = ::poll(&watched, 1, std::max(0, static_cast<int>(timeout * 1000)));
    if (ready == 0)
        return ReadEnd::Timeout;
    char bytes[65536];
    const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
    if (count < 0)
        return ReadEnd::Reset;
    if (count == 0)
        return ReadEnd::Closed;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return ReadEnd::Data;
}

} // namespace review
