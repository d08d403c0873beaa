#pragma once

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** Fills the queue of new connections of a listener on loopback that accepts none, so that further
    connection attempts get no response. */
class ListenQueueFiller
{
public:
    /** Connects until an attempt gets no response. */
    explicit ListenQueueFiller(std::uint16_t port);
    ~ListenQueueFiller();
    ListenQueueFiller(const ListenQueueFiller &) = delete;
    ListenQueueFiller &operator=(const ListenQueueFiller &) = delete;

    /** Tells whether the queue is full. */
    [[nodiscard]] bool isFull() const noexcept
    {
        return this->full;
    }

private:
    std::vector<int> descriptors;
    bool full = false;
};

} // namespace lacewingmux
