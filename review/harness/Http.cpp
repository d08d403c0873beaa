#include "Http.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

int millisecondsUntil(Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<long long>(left, 0, 1000000));
}

sockaddr_in addressOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

} // namespace

std::string fieldOf(const Fields &fields, const std::string &name)
{
    for (const auto &[key, value] : fields) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

bool hasField(const Fields &fields, const std::string &name)
{
    return std::any_of(fields.begin(), fields.end(), [&name](const auto &field) {
        return ::strcasecmp(field.first.c_str(), name.c_str()) == 0;
    });
}

Connection::Connection(int socketDescriptor)
    : socket(socketDescriptor)
{ }

Connection::~Connection()
{
    this->close();
}

void Connection::close()
{
    if (this->socket >= 0)
        ::close(this->socket);
    this->socket = -1;
}

bool Connection::open(const std::string &address, std::uint16_t port,
                      std::chrono::milliseconds timeout)
{
    this->close();
    this->buffer.clear();
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = addressOf(address, port);
    if (::connect(this->socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        if (errno != EINPROGRESS) {
            this->close();
            return false;
        }
        pollfd watched{this->socket, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (::poll(&watched, 1, static_cast<int>(timeout.count())) <= 0
            || ::getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0
            || error != 0) {
            this->close();
            return false;
        }
    }
    ::fcntl(this->socket, F_SETFL, ::fcntl(this->socket, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count =
                ::send(this->socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill(Clock::time_point deadline)
{
    pollfd watched{this->socket, POLLIN, 0};
    if (::poll(&watched, 1, millisecondsUntil(deadline)) <= 0)
        return false;
    char bytes[16384];
    const ssize_t count = ::recv(this->socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line, Clock::time_point deadline)
{
    std::size_t end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill(deadline))
            return false;
        end = this->buffer.find("\r\n");
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::string &bytes, std::size_t count, Clock::time_point deadline)
{
    while (this->buffer.size() < count) {
        if (!this->fill(deadline))
            return false;
    }
    bytes += this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
}

namespace {

bool readFields(Connection &connection, Fields &fields, Clock::time_point deadline)
{
    std::string line;
    while (connection.readLine(line, deadline)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::size_t start = line.find_first_not_of(" \t", colon + 1);
        if (start == std::string::npos)
            start = line.size();
        fields.emplace_back(line.substr(0, colon), line.substr(start));
    }
    return false;
}

/** Reads chunks; returns whether the last one came. */
bool readChunks(Connection &connection, std::string &body, Clock::time_point deadline,
                const std::function<void()> &progress)
{
    std::string line;
    while (connection.readLine(line, deadline)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size > 0 && !connection.readBytes(body, size, deadline))
            return false;
        std::string end;
        if (!connection.readLine(end, deadline))
            return false;
        if (size == 0)
            return true;
        progress();
    }
    return false;
}

} // namespace

bool Connection::readRequest(Request &request, Clock::time_point deadline)
{
    std::string line;
    if (!this->readLine(line, deadline))
        return false;
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        return false;
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    if (!readFields(*this, request.fields, deadline))
        return false;
    if (::strcasecmp(fieldOf(request.fields, "Transfer-Encoding").c_str(), "chunked") == 0)
        return readChunks(*this, request.body, deadline, [] {});
    const std::string length = fieldOf(request.fields, "Content-Length");
    return length.empty()
           || this->readBytes(request.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
}

bool Connection::isGone() const
{
    pollfd watched{this->socket, POLLIN | POLLRDHUP, 0};
    if (::poll(&watched, 1, 0) <= 0)
        return false;
    char byte = 0;
    return ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

int listenOn(const std::string &address, std::uint16_t &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in own = addressOf(address, port);
    socklen_t length = sizeof own;
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(descriptor, 256) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&own), &length) != 0) {
        ::close(descriptor);
        return -1;
    }
    port = ntohs(own.sin_port);
    return descriptor;
}

Answer call(const std::string &address, std::uint16_t port, const std::string &method,
            const std::string &target, const Fields &fields, const std::string &body,
            std::chrono::milliseconds timeout,
            const std::function<void(const std::string &bodySoFar)> &progress)
{
    Answer answer;
    answer.sentAt = Clock::now();
    answer.lastByteAt = answer.sentAt;
    answer.endedAt = answer.sentAt;
    const Clock::time_point deadline = answer.sentAt + timeout;
    Connection connection;
    if (!connection.open(address, port, std::min(timeout, std::chrono::milliseconds(1000))))
        return answer;
    answer.connected = true;
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    std::string line;
    if (connection.write(text) && connection.readLine(line, deadline)) {
        const std::size_t space = line.find(' ');
        Fields head;
        if (space != std::string::npos && readFields(connection, head, deadline)) {
            answer.status = std::atoi(line.c_str() + space);
            answer.fields = std::move(head);
            const std::string length = fieldOf(answer.fields, "Content-Length");
            if (!fieldOf(answer.fields, "Transfer-Encoding").empty())
                answer.complete = readChunks(connection, answer.body, deadline, [&] {
                    answer.lastByteAt = Clock::now();
                    if (progress)
                        progress(answer.body);
                });
            else if (!length.empty())
                answer.complete = connection.readBytes(
                        answer.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
        }
    }
    answer.endedAt = Clock::now();
    return answer;
}

} // namespace review
