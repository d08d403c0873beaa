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

void ForwardedCall::clearSuspicionIfSurvived(const std::shared_ptr<const TunnelUse> &tunnel)
{
    ReplicaFleet &fleet = this->context.fleet;
    // A crash may have cut an answer that ends with its connection.
    const bool mayBeCut = this->attempt.head.bodyEndsAtClose;
    if (!mayBeCut && !fleet.crashCorrelator().hasSuspects())
        return;
    if (mayBeCut)
        fleet.crashCorrelator().recordBrokenConnection(
                this->attempt.replica, {this->contentDigest(), this->attempt.startMilliseconds,
                                        this->attempt.sentAt, this->now()});
    // The call may have ended by then.
    fleet.checkSurvival(this->attempt.replica, tunnel,
                        [&fleet, &timers = this->context.timers, digest = this->contentDigest(),
                         sentAt = this->attempt.sentAt] {
                            fleet.crashCorrelator().recordCompleted(digest, sentAt, timers.now());
                        });
}

} // namespace lacewingmux
