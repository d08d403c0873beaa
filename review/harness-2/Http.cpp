#include "Http.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <memory>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in endpointOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    return endpoint;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

std::string Message::field(const std::string &name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

std::string Message::word(int number) const
{
    std::size_t begin = 0;
    for (; number > 0 && begin != std::string::npos; --number) {
        begin = this->startLine.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    if (begin == std::string::npos)
        return {};
    return this->startLine.substr(begin, this->startLine.find(' ', begin) - begin);
}

Stream::~Stream()
{
    ::close(this->descriptor);
}

bool Stream::write(const std::string &bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::send(this->descriptor, bytes.data() + written,
                                     bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

bool Stream::fill()
{
    char part[65536];
    const ssize_t count = ::recv(this->descriptor, part, sizeof part, 0);
    if (count <= 0)
        return false;
    this->buffer.append(part, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Stream::line()
{
    std::size_t end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill())
            return std::nullopt;
        end = this->buffer.find("\r\n");
    }
    std::string result = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return result;
}

std::optional<std::string> Stream::bytes(std::size_t count,
                                         const std::function<void(std::size_t)> &pause)
{
    std::string result;
    while (result.size() < count) {
        if (this->buffer.empty() && !this->fill())
            return std::nullopt;
        const std::size_t taken = std::min(count - result.size(), this->buffer.size());
        result.append(this->buffer, 0, taken);
        this->buffer.erase(0, taken);
        if (pause)
            pause(taken);
    }
    return result;
}

std::optional<Message> Stream::message(const std::function<void(std::size_t)> &pause,
                                       const std::function<void(const Message &)> &headRead)
{
    Message result;
    const auto first = this->line();
    if (!first)
        return std::nullopt;
    result.startLine = *first;
    while (true) {
        const auto next = this->line();
        if (!next)
            return std::nullopt;
        if (next->empty())
            break;
        const std::size_t colon = next->find(':');
        std::size_t value = colon + 1;
        while (value < next->size() && (*next)[value] == ' ')
            ++value;
        result.fields[lower(next->substr(0, colon))] = next->substr(value);
    }
    if (headRead)
        headRead(result);
    const std::string length = result.field("content-length");
    if (!length.empty()) {
        auto body = this->bytes(std::stoul(length), pause);
        if (!body)
            return std::nullopt;
        result.body = std::move(*body);
    }
    return result;
}

bool Stream::isClosed() const
{
    pollfd watched{this->descriptor, POLLIN, 0};
    if (::poll(&watched, 1, 0) <= 0)
        return false;
    char byte = 0;
    return ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void Stream::setReadTimeout(int milliseconds) const
{
    const timeval limit{milliseconds / 1000, (milliseconds % 1000) * 1000L};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void Stream::reset() const
{
    const linger atOnce{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
}

Listener::Listener(const std::string &address, std::uint16_t port, int receiveBufferBytes,
                   Handler connectionHandler)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBufferBytes > 0)
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                     sizeof receiveBufferBytes);
    // Segments as on an Ethernet: with those of the loopback interface, the system of the sending
    // end holds megabytes for each connection.
    const int segmentBytes = 1460;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    const int on = 1;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in endpoint = endpointOf(address, port);
    socklen_t length = sizeof endpoint;
    if (::bind(this->descriptor, reinterpret_cast<sockaddr *>(&endpoint), length) != 0
        || ::listen(this->descriptor, 512) != 0
        || ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&endpoint), &length) != 0)
        return;
    this->portNumber = ntohs(endpoint.sin_port);
    this->acceptor =
            std::thread([listening = this->descriptor, handler = std::move(connectionHandler)] {
                while (true) {
                    const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                    if (accepted < 0)
                        return;
                    const int on = 1;
                    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    std::thread([accepted, handler] {
                        Stream stream(accepted);
                        handler(stream);
                    }).detach();
                }
            });
}

Listener::~Listener()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
    if (this->acceptor.joinable())
        this->acceptor.join();
    ::close(this->descriptor);
}

std::unique_ptr<Stream> connectTo(const std::string &address, std::uint16_t port,
                                  int receiveBufferBytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto stream = std::make_unique<Stream>(descriptor);
    if (receiveBufferBytes > 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                     sizeof receiveBufferBytes);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in endpoint = endpointOf(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0)
        return nullptr;
    return stream;
}

std::string urlDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index] == '+' ? ' ' : text[index];
        }
    }
    return result;
}

} // namespace review
