#pragma once

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstdint>

namespace lacewingmux::flood {

/** A TCP socket with blocking calls, for use on threads without an event loop. */
class LoopbackSocket
{
public:
    using Clock = std::chrono::steady_clock;

    /** Takes over an open descriptor, or none with -1. */
    explicit LoopbackSocket(int openDescriptor = -1);
    ~LoopbackSocket();
    LoopbackSocket(LoopbackSocket &&other) noexcept;
    LoopbackSocket &operator=(LoopbackSocket &&) = delete;
    LoopbackSocket(const LoopbackSocket &) = delete;
    LoopbackSocket &operator=(const LoopbackSocket &) = delete;

    /** Connects to the address; the socket is not open if that fails or takes over a second. */
    [[nodiscard]] static LoopbackSocket connectTo(const QHostAddress &address, std::uint16_t port);

    /** Listens on a free port of 127.0.0.1. */
    [[nodiscard]] static LoopbackSocket listen();

    [[nodiscard]] std::uint16_t port() const;

    /** Waits for a connection; the result is not open if none has come in time. */
    [[nodiscard]] LoopbackSocket accept(std::chrono::milliseconds time) const;

    /** Sends all bytes; returns false if the connection is closed or the time is up. */
    bool send(const QByteArray &bytes, Clock::time_point deadline) const;

    /** Waits for bytes; returns none if the connection is closed or the time is up. */
    [[nodiscard]] QByteArray receive(Clock::time_point deadline) const;

    /** Ends the connection for all threads that use it. */
    void shutDown() const;

    [[nodiscard]] bool isOpen() const noexcept
    {
        return this->descriptor >= 0;
    }

private:
    /** Waits for the poll events; returns whether they came in time. */
    [[nodiscard]] bool waitFor(short events, Clock::time_point deadline) const;

    int descriptor;
};

} // namespace lacewingmux::flood
