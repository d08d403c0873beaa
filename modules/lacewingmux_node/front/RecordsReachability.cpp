#include "lacewingmux_node/front/RecordsReachability.h"

#include <utility>

namespace lacewingmux {

namespace {

// The quorum must be missing this long before it is reported, so that a link that reconnects
// quickly does not make the load balancer take this VM out of service.
constexpr std::chrono::milliseconds lossDelay{300};
constexpr int requiredSilentChecks = 2;

} // namespace

RecordsReachability::State RecordsReachability::check(bool hasQuorum, bool isResponsive,
                                                      SteadyTime now)
{
    if (hasQuorum)
        this->lastQuorumTime = now;
    this->state.reachable = hasQuorum || now - this->lastQuorumTime < lossDelay;
    // While links are missing, a VM that was found silent stays so: its links are being closed.
    this->state.ready = hasQuorum ? !this->isQuorumSilent(isResponsive, now)
                                  : this->state.reachable && this->state.ready;
    return this->state;
}

bool RecordsReachability::isQuorumSilent(bool isResponsive, SteadyTime now)
{
    // A check that ran late says that this VM was suspended; the sockets are read after it.
    const bool ranLate = now - std::exchange(this->lastSilenceCheck, now) > 2 * checkInterval;
    this->silentChecks = !isResponsive && !ranLate ? this->silentChecks + 1 : 0;
    return this->silentChecks >= requiredSilentChecks;
}

} // namespace lacewingmux
