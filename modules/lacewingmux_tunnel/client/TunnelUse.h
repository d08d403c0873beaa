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
    TunnelUse(TunnelEndpoint chosenEndpoint, int vmGeneration, std::function<void()> endedHook)
        : tunnelEndpoint(std::move(chosenEndpoint))
        , generationOfVm(vmGeneration)
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

    /** Returns how often the VM had become unavailable before. */
    [[nodiscard]] int generation() const noexcept
    {
        return this->generationOfVm;
    }

private:
    TunnelEndpoint tunnelEndpoint;
    int generationOfVm;
    std::function<void()> ended;
};

} // namespace lacewingmux
