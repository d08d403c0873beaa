#pragma once

#include "lacewingmux_tunnel/client/TunnelEndpoint.h"

#include <functional>
#include <utility>

namespace lacewingmux {

/** The use of a VM by one tunnel, which counts towards the load of that VM until it is destroyed.
 */
class TunnelUse
{
public:
    /** The hook is called on destruction. */
    TunnelUse(TunnelEndpoint chosenEndpoint, int stopCount, std::function<void()> endedHook)
        : tunnelEndpoint(std::move(chosenEndpoint))
        , stops(stopCount)
        , ended(std::move(endedHook))
    { }

    ~TunnelUse()
    {
        this->ended();
    }

    TunnelUse(const TunnelUse &) = delete;
    TunnelUse &operator=(const TunnelUse &) = delete;

    [[nodiscard]] const TunnelEndpoint &endpoint() const noexcept
    {
        return this->tunnelEndpoint;
    }

    /** Returns how many planned stops the VM had announced before. */
    [[nodiscard]] int stopCount() const noexcept
    {
        return this->stops;
    }

private:
    TunnelEndpoint tunnelEndpoint;
    int stops;
    std::function<void()> ended;
};

} // namespace lacewingmux
