#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_tunnel/client/TunnelEndpoint.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

class TunnelUse;

/**
    The VMs that open tunnels for this one. It selects the one with the fewest tunnels of this VM,
   of the own availability zone if there are several, and skips one that failed until a delay is
   over.

    Designed for many VMs that lose their links at once: they prefer different VMs among equals.
    Reads no clock: the current time is a parameter.
*/
class TunnelDirectory
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** The seed distinguishes this VM from others. */
    TunnelDirectory(QByteArray zoneOfThisVm, std::uint64_t vmSeed);
    ~TunnelDirectory();
    TunnelDirectory(const TunnelDirectory &) = delete;
    TunnelDirectory &operator=(const TunnelDirectory &) = delete;

    /** Sets the VMs that open tunnels. Those that stay keep their state. */
    void setEndpoints(const std::vector<TunnelEndpoint> &newEndpoints);

    /** Returns the use of the selected VM; null if there is none, or all have failed lately. */
    [[nodiscard]] std::shared_ptr<const TunnelUse> take(SteadyTime now);

    /** Returns whether a VM can be selected. */
    [[nodiscard]] bool isAvailable(SteadyTime now) const;

    /** Records that the VM opened no tunnel, whatever the target, or has begun a planned stop. Its
        open tunnels may be used to their end, but not again. */
    void recordUnavailable(const QString &vm, SteadyTime now);

    /** Returns whether another call may use the open tunnel. */
    [[nodiscard]] bool isReusable(const TunnelUse &tunnel) const;

private:
    struct Vm
    {
        TunnelEndpoint endpoint;
        std::uint64_t rank = 0; ///< order of preference among equals
        int tunnels = 0;        ///< of this VM
        int generation = 0;     ///< how often it became unavailable
        SteadyTime unavailableUntil;
    };

    [[nodiscard]] bool isPreferred(const Vm &left, const Vm &right) const;

    QByteArray ownZone;
    std::uint64_t seed;
    /** Shared with the uses, which may outlive an entry or this object. */
    std::shared_ptr<std::map<QString, Vm>> vms;
};

} // namespace lacewingmux
