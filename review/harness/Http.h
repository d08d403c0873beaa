#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Fields = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of a field, compared without regard to case; empty if there is none. */
std::string fieldOf(const Fields &fields, const std::string &name);
bool hasField(const Fields &fields, const std::string &name);

/** A request as read from a connection. */
struct Request
{
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
};

/** What a client got for one request. */
struct Answer
{
    int status = 0; ///< 0 if no complete head came
    Fields fields;
    std::string body;
    bool complete = false; ///< the body arrived up to its declared end
    bool connected = false;
    Clock::time_point sentAt;
    Clock::time_point lastByteAt; ///< before the end of the body
    Clock::time_point endedAt;
};

/** A blocking TCP connection with a buffer. */
class Connection
{
public:
    explicit Connection(int socketDescriptor = -1);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] int descriptor() const
    {
        return this->socket;
    }
    [[nodiscard]] bool isOpen() const
    {
        return this->socket >= 0;
    }
    bool open(const std::string &address, std::uint16_t port, std::chrono::milliseconds timeout);
    bool write(const std::string &bytes);
    /** Reads until the deadline; returns whether bytes came. */
    bool fill(Clock::time_point deadline);
    bool readLine(std::string &line, Clock::time_point deadline);
    bool readBytes(std::string &bytes, std::size_t count, Clock::time_point deadline);
    bool readRequest(Request &request, Clock::time_point deadline);
    /** Returns whether the peer has closed or reset the connection. */
    [[nodiscard]] bool isGone() const;
    void close();

    std::string buffer;

private:
    int socket;
};

/** Listens on an address; port 0 lets the system choose. Returns the descriptor, -1 on failure. */
int listenOn(const std::string &address, std::uint16_t &port);

/** Sends one request on a new connection and reads the answer. */
Answer call(const std::string &address, std::uint16_t port, const std::string &method,
            const std::string &target, const Fields &fields, const std::string &body,
            std::chrono::milliseconds timeout,
            const std::function<void(const std::string &bodySoFar)> &progress = {});

} // namespace review
