#pragma once

#include <cstddef>
#include <cstdint>

namespace lacewingmux {

/** How the traffic thread stands, as the control thread and operators see it. */
struct TrafficStatus
{
    bool ready = false;
    bool settled = false; ///< every slot of this VM is active in the current view
    bool drained = false; ///< this VM has left the view, and nobody needs its copies
    bool serving = true;  ///< new connections of callers are accepted
    std::uint64_t epoch = 0;
    std::size_t runningCalls = 0;      ///< at this VM's owner
    std::size_t ownerRequests = 0;     ///< of this VM's and other VMs' fronts, unanswered
    std::size_t forwardedRequests = 0; ///< of this VM's callers, unanswered by their owner
    int callerConnections = 0;
    bool frontIdle = true; ///< no caller waits for an answer or for the rest of one
    std::size_t programs = 0;
    std::size_t peers = 0; ///< traffic links that are up

    /** Tells whether nothing is left to answer on this VM. */
    [[nodiscard]] bool isIdle() const noexcept
    {
        return this->frontIdle && this->runningCalls == 0 && this->ownerRequests == 0
               && this->forwardedRequests == 0;
    }
};

} // namespace lacewingmux
