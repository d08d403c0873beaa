#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

namespace lacewingmux {

void ForwardedCall::suspectCrash(const std::shared_ptr<const TunnelUse> &tunnel)
{
    this->context.fleet.crashCorrelator().recordBrokenConnection(
            this->attempt.replica, {this->contentDigest(), this->attempt.startMilliseconds,
                                    this->attempt.sentAt, this->now()});
    this->context.fleet.checkForCrash(this->attempt.replica, tunnel);
}

void ForwardedCall::clearSuspicion()
{
    CrashCorrelator &crashCorrelator = this->context.fleet.crashCorrelator();
    if (crashCorrelator.hasSuspects())
        crashCorrelator.recordCompleted(this->contentDigest());
}

} // namespace lacewingmux
