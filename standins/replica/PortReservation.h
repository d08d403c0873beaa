#pragma once

#include <QHostAddress>

#include <cstdint>

namespace lacewingmux {

/** Keeps a free TCP port for this process without listening on it. A listener that allows reuse of
    its address can use the port; after that listener has closed, connections are refused and no
    other process is given the port. */
class PortReservation
{
public:
    /** Reserves a free port of the address. Throws std::system_error if there is none. */
    explicit PortReservation(const QHostAddress &address);
    ~PortReservation();
    PortReservation(const PortReservation &) = delete;
    PortReservation &operator=(const PortReservation &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return this->reservedPort;
    }

private:
    int descriptor;
    std::uint16_t reservedPort = 0;
};

} // namespace lacewingmux
