#pragma once

#include <QByteArray>

#include <cstdint>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

/** A caller on loopback that writes and reads bytes as they are. */
class RawCaller
{
public:
    /** Starts to connect. */
    explicit RawCaller(std::uint16_t port);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /** Writes bytes, once connected. */
    void send(const QByteArray &bytes);

    /** Writes bytes on a connection that is open, and hands them to the network before it
        returns. */
    void sendNow(const QByteArray &bytes);

    /** Closes the connection in order. */
    void close();

    /** Returns all bytes that have come. */
    [[nodiscard]] const QByteArray &received() const noexcept
    {
        return this->bytes;
    }

    /** Forgets the bytes that have come. */
    void forget();

    [[nodiscard]] bool isClosed() const noexcept
    {
        return this->closed;
    }

private:
    std::unique_ptr<QTcpSocket> socket;
    QByteArray bytes;
    bool closed = false;
};

} // namespace lacewingmux
