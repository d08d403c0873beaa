#pragma once

#include "lacewingmux_allowance/shares/LocalShare.h"
#include "lacewingmux_core/ids/VmIncarnation.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    A zone's share of the site's power cap, held in batches by the VMs of the zone.

    A VM always names the whole power that it wants to hold, with a sequence number, so a request
    that is lost or comes twice does no harm. What a VM that left the view holds stays held until
    the longest run time has passed, since its sequences may still be running.

    Pure: time is passed in.
*/
class PowerAllowance
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Makes the allowance of a zone that never had one: nothing is held. */
    PowerAllowance() = default;

    /** Makes the allowance from its last journal entry, or nothing when that is damaged. */
    [[nodiscard]] static std::optional<PowerAllowance> recovered(const QByteArray &entry);

    /** Makes the allowance of a slot whose state was lost: nothing can be held until the moment. */
    [[nodiscard]] static PowerAllowance afterLoss(Time blockedUntil);

    /** Sets the site's cap in watts. What is held beyond a lower cap is not taken away. */
    void setCap(double siteWatts) noexcept;

    /** Learns the zone's share from a share record. */
    void mergeShare(const ShareCounters &recorded);

    /** Gives up parts of the share, at most those that nobody holds; returns how many. */
    std::uint64_t withdrawParts(std::uint64_t parts);

    /**
        Sets what a VM holds: lowers it at once, raises it as far as power is free. Returns up to
        which power the VM may start sequences: what it holds, or its part of a cap that has been
        lowered below what is held. A request older than the last one changes nothing.
    */
    double request(const VmIncarnation &holder, std::uint64_t sequence, double totalWatts,
                   Time now);

    /** Notes that the VM left the view at the moment; its power is free after longestRun. */
    void markDeparted(const VmIncarnation &holder, Time departedAt);

    /** Notes that the VM is in the view. */
    void markPresent(const VmIncarnation &holder);

    /** Takes back what VMs hold that left more than longestRun ago; tells whether any did. */
    bool reclaimDeparted(std::chrono::milliseconds longestRun, Time now);

    /** Returns the VMs that hold power. */
    [[nodiscard]] std::vector<VmIncarnation> holders() const;

    /** Returns the power held in all, in watts. */
    [[nodiscard]] double heldWatts() const noexcept;

    /** Returns the zone's share of the cap, in watts. */
    [[nodiscard]] double limitWatts() const noexcept;

    [[nodiscard]] const LocalShare &share() const noexcept
    {
        return this->localShare;
    }

    /** Returns the whole state as a journal entry. */
    [[nodiscard]] QByteArray toEntry() const;

private:
    struct Holding
    {
        std::uint64_t sequence = 0;
        double watts = 0;
        std::optional<Time> departedAt;
    };

    [[nodiscard]] double usableWatts(const Holding &held) const noexcept;

    LocalShare localShare;
    double capWatts = 0;
    std::map<VmIncarnation, Holding> heldByVm;
    std::optional<Time> blockedUntil;
};

} // namespace lacewingmux
