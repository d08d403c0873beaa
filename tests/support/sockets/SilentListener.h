#pragma once

#include <QHostAddress>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** A port on which connection attempts get no response, as behind a partition: its queue of new
    connections is full. */
class SilentListener
{
public:
    SilentListener();
    ~SilentListener();
    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;

    [[nodiscard]] QHostAddress address() const;
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return this->listeningPort;
    }

private:
    std::uint16_t listeningPort = 0;
    std::vector<int> descriptors;
};

} // namespace lacewingmux
