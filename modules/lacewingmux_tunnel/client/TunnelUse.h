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
    TunnelUse(TunnelEndpoint chosenEndpoint, std::function<void()> endedHook)
        : tunnelEndpoint(std::move(chosenEndpoint))
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

private:
    TunnelEndpoint tunnelEndpoint;
    std::function<void()> ended;
};

} // namespace lacewingmux
