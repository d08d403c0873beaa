#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaLease.h"
#include "lacewingmux_records/quota/QuotaPlacement.h"
#include "lacewingmux_records/quota/QuotaTokenBucket.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <functional>
#include <map>

namespace lacewingmux {

/**
    The tokens that a records VM grants to entry VMs: one bucket for each team of which it holds a
    part. Tokens accrue only while this VM holds the part, and are discarded when another member may
    have held it meanwhile. Reads no clock: the current time is a parameter.
*/
class QuotaGrants
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Writes the floor of a team's bucket to disk; the callback, which may be empty, is called
       when it is there. */
    using FloorWriter = std::function<void(const QByteArray &team, double tokens,
                                           std::function<void()> durable)>;

    QuotaGrants(const VmIncarnation &self, FloorWriter floorWriter);

    /** Sets a floor that was read from disk at the start. */
    void restoreFloor(const QByteArray &team, double tokens);

    /** Adopts a view of the records VMs. */
    void setView(const RecordsView &view, SteadyTime now);

    /** Returns the lease that this VM needs for its parts. */
    [[nodiscard]] QuotaLease &lease() noexcept
    {
        return this->ownLease;
    }

    /** Grants tokens to an entry VM, under the limits of the given configuration version unless
        newer limits are known. */
    [[nodiscard]] TeamGrantMessage grant(const VmIncarnation &entryVm,
                                         const TeamDemandMessage &demand,
                                         std::uint64_t configurationVersion, SteadyTime now);

    /** Accrues tokens; must be called at least every accrualInterval. */
    void update(SteadyTime now);

    /** Returns the number of teams and replicas whose tokens this VM keeps count of. */
    [[nodiscard]] qsizetype holdingCount() const noexcept
    {
        return this->holdings.size();
    }

    /** Raises the floors on disk where many tokens lie above them. */
    void raiseFloors(SteadyTime now);

    /** The interval of update(). */
    static constexpr std::chrono::milliseconds accrualInterval{100};

private:
    /** This VM's part of a team's rate. */
    struct Holding
    {
        QuotaTokenBucket bucket;
        double requestsPerSecond = 0; ///< of the whole team
        double burst = 0;             ///< of the whole team
        std::uint64_t configurationVersion = 0;
        std::map<VmIncarnation, SteadyTime> contenders; ///< entry VMs whose demand was not met
        SteadyTime lastAsked;
    };

    Holding &holdingOf(const QByteArray &team, SteadyTime now);
    /** Updates the bucket; returns whether this VM holds a part of the team's rate now. */
    bool refresh(const QByteArray &team, Holding &holding, SteadyTime now);
    void discardAfterTakeover(SteadyTime now);
    void removeUnused(SteadyTime now);
    /** Returns whether nobody has asked for so long that the bucket is full again. */
    [[nodiscard]] static bool isUnused(const Holding &holding, SteadyTime now);
    [[nodiscard]] static int countContenders(Holding &holding, SteadyTime now);

    FloorWriter writeFloor;
    QuotaLease ownLease;
    QuotaPlacement placement;
    QHash<QByteArray, Holding> holdings;    ///< by team
    QHash<QByteArray, double> storedFloors; ///< read from disk and not used yet, by team
    std::uint64_t leaseGeneration = 0;
};

} // namespace lacewingmux
