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
    A zone's share of the site's power cap, held in batches by the VMs of the zone. A sequence is
    one call that runs on a backend server and draws power.

    A request states the total power that the VM wants to hold and a sequence number, so lost and
    duplicate requests are harmless. The power of a VM that left the view stays held until the
    longest run time has passed, because its sequences may still be running.

    The class reads no clock; the time is passed in.
*/
class PowerAllowance
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Creates the allowance of a zone that never had one, with no power held. */
    PowerAllowance() = default;

    /** Restores the allowance from its last journal entry; returns nothing for a corrupt entry. */
    [[nodiscard]] static std::optional<PowerAllowance> recovered(const QByteArray &entry);

    /** Creates the allowance of a slot with lost state; it grants no power until blockedUntil. */
    [[nodiscard]] static PowerAllowance afterLoss(Time blockedUntil);

    /** Sets the site's cap in watts. Power already held above a lower cap is not revoked. */
    void setCap(double siteWatts) noexcept;

    /** Merges the zone's counters from a share record. */
    void mergeShare(const ShareCounters &recorded);

    /** Withdraws parts from the share, at most those that no VM holds; returns how many. */
    std::uint64_t withdrawParts(std::uint64_t parts);

    /**
        Sets the power that a VM holds. A decrease takes effect at once, an increase as far as
        power is free. Returns the power up to which the VM may start sequences: what it holds,
        scaled down when the zone's limit has been lowered below the total held. A request older
        than the last one changes nothing.
    */
    double request(const VmIncarnation &holder, std::uint64_t sequence, double totalWatts,
                   Time now);

    /** Marks the VM as having left the view; reclaimDeparted() frees its power later. */
    void markDeparted(const VmIncarnation &holder, Time departedAt);

    /** Marks the VM as a member of the view. */
    void markPresent(const VmIncarnation &holder);

    /** Frees power of VMs that left at least longestRunTime ago; returns whether there were any. */
    bool reclaimDeparted(std::chrono::milliseconds longestRunTime, Time now);

    /** Returns the VMs that hold power. */
    [[nodiscard]] std::vector<VmIncarnation> holders() const;

    /** Returns the total power held, in watts. */
    [[nodiscard]] double heldWatts() const noexcept;

    /** Returns the zone's share of the cap, in watts. */
    [[nodiscard]] double limitWatts() const noexcept;

    [[nodiscard]] const LocalShare &share() const noexcept
    {
        return this->localShare;
    }

    /** Serializes the whole state as a journal entry. */
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
