#pragma once

#include <QString>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace lacewingmux {

/** What another zone lacks of an item, as it reported. */
struct ZoneNeed
{
    QString zone;
    double demandParts = 0;
    std::uint64_t heldParts = 0;
};

/** What a zone holds of an item, by the share record. */
struct ZoneParts
{
    QString zone;
    std::uint64_t parts = 0;
};

/** What a zone knows when it decides whether to give from its share of an item. */
struct RebalancingState
{
    QString ownZone;
    std::uint64_t ownParts = 0;
    double ownDemandParts = 0;
    double burstTokens = 0;       ///< the whole burst; 0 for power, which has none
    std::vector<ZoneParts> zones; ///< all zones of the record, the own one included
    std::vector<ZoneNeed> needs;  ///< fresh reports of other zones
};

/** Parts to give to a zone. */
struct ShareTransfer
{
    QString zone;
    std::uint64_t parts = 0;
};

/** Decides about one item; nothing means that the zone keeps what it has. */
using ShareDecision = std::function<std::optional<ShareTransfer>(const RebalancingState &)>;

/**
    Moves shares to where the demand is, a little at a time.

    A zone reports a need when its demand nears its share, and gives only what it holds well above
    its own demand. The gap between the two keeps shares from moving to and fro.
*/
class DemandDrivenShares
{
public:
    /** Tells whether a zone with that demand and share should report a need. */
    [[nodiscard]] static bool hasNeed(double demandParts, std::uint64_t heldParts) noexcept;

    /** Returns what to give, and to whom. */
    [[nodiscard]] static std::optional<ShareTransfer> decide(const RebalancingState &state);

private:
    [[nodiscard]] static std::optional<ShareTransfer> consolidate(const RebalancingState &state);
};

/** The naive twin: shares never move. */
class StaticShares
{
public:
    [[nodiscard]] static std::optional<ShareTransfer> decide(const RebalancingState &)
    {
        return std::nullopt;
    }
};

} // namespace lacewingmux
