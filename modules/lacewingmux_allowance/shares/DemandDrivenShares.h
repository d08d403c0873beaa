#pragma once

#include <QString>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace lacewingmux {

/** Another zone's demand and parts held of an item, as it reported them. */
struct ZoneNeed
{
    QString zone;
    double demandParts = 0;
    std::uint64_t heldParts = 0;
};

/** The parts that a zone holds of an item, according to the share record. */
struct ZoneParts
{
    QString zone;
    std::uint64_t parts = 0;
};

/** The input to a zone's decision whether to transfer parts of its share of an item. */
struct RebalancingState
{
    QString ownZone;
    std::uint64_t ownParts = 0;
    double ownDemandParts = 0;
    double burstTokens = 0;       ///< fleet-wide burst; 0 for power, which has none
    std::vector<ZoneParts> zones; ///< all zones of the record, the own one included
    std::vector<ZoneNeed> needs;  ///< valid reports of other zones
};

/** Parts to give to a zone. */
struct ShareTransfer
{
    QString zone;
    std::uint64_t parts = 0;
};

/** Decides on a transfer of one item; returns nothing when the zone keeps its share. */
using ShareDecision = std::function<std::optional<ShareTransfer>(const RebalancingState &)>;

/**
    Transfers shares in small steps to the zones with demand.

    A zone reports a need when its demand approaches its share, and transfers only what it holds
    well above its own demand. The hysteresis between the two prevents oscillation.
*/
class DemandDrivenShares
{
public:
    /** Tells whether a zone with that demand and share should report a need. */
    [[nodiscard]] static bool hasNeed(double demandParts, std::uint64_t heldParts) noexcept;

    /** Returns what to transfer, and to whom. */
    [[nodiscard]] static std::optional<ShareTransfer> decide(const RebalancingState &situation);

private:
    [[nodiscard]] static std::optional<ShareTransfer>
    consolidate(const RebalancingState &situation);
};

/** The baseline policy, which never transfers shares. */
class StaticShares
{
public:
    [[nodiscard]] static std::optional<ShareTransfer> decide(const RebalancingState &)
    {
        return std::nullopt;
    }
};

} // namespace lacewingmux
