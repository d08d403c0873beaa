#pragma once

#include <QThread>

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

/**
    Runs a server on a thread with an event loop of its own. The builder runs on that thread,
    returns the port and what must live until the end.
*/
class ServerThread
{
public:
    struct Built
    {
        std::uint16_t port = 0;
        std::shared_ptr<void> parts;
    };

    explicit ServerThread(const std::function<Built()> &build);
    ~ServerThread();
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return this->built.port;
    }

private:
    Built built;
    std::unique_ptr<QThread> thread;
};

} // namespace lacewingmux
