#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** A message of HTTP/1.1. Names of fields are in lowercase. */
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const;
    [[nodiscard]] std::string word(int number) const; ///< of the start line, from 0
};

/** A connection that blocks; used by one thread. */
class Stream
{
public:
    explicit Stream(int socketDescriptor)
        : descriptor(socketDescriptor)
    { }
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    [[nodiscard]] bool write(const std::string &bytes) const;
    /** Reads more bytes into the buffer; false at the end of the connection. */
    bool fill();
    /** Reads a line without its end. */
    std::optional<std::string> line();
    /** Reads so many bytes; pause is called between parts of 64 KiB. */
    std::optional<std::string> bytes(std::size_t count,
                                     const std::function<void(std::size_t)> &pause = nullptr);
    /** Reads a head, and the body if it has a length. headRead is called between the two. */
    std::optional<Message> message(const std::function<void(std::size_t)> &pause = nullptr,
                                   const std::function<void(const Message &)> &headRead = nullptr);
    /** Tells whether the peer has closed the connection. */
    [[nodiscard]] bool isClosed() const;
    void setReadTimeout(int milliseconds) const;
    void reset() const; ///< lets the close be a reset
    int descriptor;

private:
    std::string buffer;
};

/** Accepts connections on a loopback address, and serves each by a thread of its own. */
class Listener
{
public:
    using Handler = std::function<void(Stream &)>;

    /** Port 0: the system chooses one. */
    Listener(const std::string &address, std::uint16_t port, int receiveBufferBytes,
             Handler connectionHandler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    [[nodiscard]] std::uint16_t port() const
    {
        return this->portNumber;
    }

private:
    int descriptor;
    std::uint16_t portNumber = 0;
    std::thread acceptor;
};

/** Connects to a loopback address; null if that fails. */
std::unique_ptr<Stream> connectTo(const std::string &address, std::uint16_t port,
                                  int receiveBufferBytes = 0);

std::string urlDecoded(const std::string &text);

} // namespace review
