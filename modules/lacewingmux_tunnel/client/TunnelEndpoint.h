#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QString>

#include <cstdint>

namespace lacewingmux {

/** A VM that opens tunnels, and where it listens for them. */
struct TunnelEndpoint
{
    QString vm;
    QByteArray zone;
    QHostAddress address;
    std::uint16_t port = 0;
};

} // namespace lacewingmux
