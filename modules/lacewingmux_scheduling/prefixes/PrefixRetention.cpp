#include "lacewingmux_scheduling/prefixes/PrefixRetention.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

PrefixRetention::PrefixRetention(const RetentionCosts &engineCosts)
    : costs(engineCosts)
{ }

RetentionAction PrefixRetention::decide(const PausedPrefix &prefix) const
{
    if (prefix.memoryPressure <= this->costs.pressureThreshold)
        return RetentionAction::Keep;
    const PauseEstimate expected = this->pauses.estimate(prefix.team, prefix.route);
    const auto tokens = static_cast<double>(prefix.tokens);
    const Seconds prefill = Seconds(this->costs.prefillPerToken) * tokens;
    const Seconds transfer =
            Seconds(this->costs.transferPerToken) * tokens + Seconds(this->costs.transferOverhead);
    const double excess = std::min(1.0, (prefix.memoryPressure - this->costs.pressureThreshold)
                                                / (1 - this->costs.pressureThreshold));

    const Seconds keepCost =
            prefill * excess * this->costs.holdingCostPerSecond * Seconds(expected.pause).count();
    const Seconds exportCost = transfer * (1 + expected.returnProbability);
    const Seconds dropCost = prefill * expected.returnProbability;
    if (keepCost <= dropCost && (keepCost <= exportCost || !prefix.exportSupported))
        return RetentionAction::Keep;
    return prefix.exportSupported && exportCost < dropCost ? RetentionAction::Export
                                                           : RetentionAction::Drop;
}

void PrefixRetention::resumed(const QString &team, const QString &route,
                              std::chrono::milliseconds pause)
{
    this->pauses.resumed(team, route, pause);
}

void PrefixRetention::ended(const QString &team, const QString &route)
{
    this->pauses.ended(team, route);
}

} // namespace lacewingmux
