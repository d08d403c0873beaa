#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include <QCryptographicHash>

#include <utility>

namespace lacewingmux {

void ForwardedCall::suspectCrash(const std::shared_ptr<const TunnelUse> &tunnel)
{
    this->recordBrokenConnection();
    this->context.fleet.checkForCrash(this->attempt.replica, tunnel);
}

void ForwardedCall::suspectCrashUnlessReachable(const std::shared_ptr<const TunnelUse> &tunnel)
{
    this->recordBrokenConnection();
    this->context.fleet.checkSurvival(this->attempt.replica, tunnel, [] {});
}

void ForwardedCall::recordBrokenConnection()
{
    this->context.fleet.crashCorrelator().recordBrokenConnection(
            this->attempt.replica, {this->contentDigest(), this->attempt.startMilliseconds,
                                    this->attempt.sentAt, this->now(), this->turnDigest()});
}

void ForwardedCall::clearSuspicionIfSurvived(const std::shared_ptr<const TunnelUse> &tunnel)
{
    ReplicaFleet &fleet = this->context.fleet;
    // A crash may have cut an answer that ends with its connection.
    const bool mayBeCut = this->attempt.head.bodyEndsAtClose;
    if (!mayBeCut && !fleet.crashCorrelator().hasSuspects())
        return;
    if (mayBeCut)
        this->recordBrokenConnection();
    // The call may have ended by then.
    fleet.checkSurvival(this->attempt.replica, tunnel,
                        [&fleet, &timers = this->context.timers, content = this->contentDigest(),
                         turn = this->turnDigest(), sentAt = this->attempt.sentAt] {
                            CrashCorrelator &correlator = fleet.crashCorrelator();
                            correlator.recordCompleted(content, sentAt, timers.now());
                            if (!turn.isEmpty())
                                correlator.recordCompleted(turn, sentAt, timers.now());
                        });
}

bool ForwardedCall::isQuarantined()
{
    const CrashCorrelator &correlator = this->context.fleet.crashCorrelator();
    // Usually there are no suspects, and the request need not be hashed.
    return correlator.hasSuspects()
           && correlator.isQuarantined(this->contentDigest(), this->now(), this->turnDigest());
}

const QByteArray &ForwardedCall::contentDigest()
{
    if (!this->digest.isEmpty())
        return this->digest;
    QCryptographicHash hash(QCryptographicHash::Sha1);
    hash.addData(this->team.name);
    hash.addData(this->request.target);
    hash.addData(this->request.body);
    this->digest = hash.result();
    return this->digest;
}

QByteArray ForwardedCall::turnDigest()
{
    if (!this->route.keepsHistory || this->description.previousTurn.isEmpty())
        return {};
    QCryptographicHash hash(QCryptographicHash::Sha1);
    hash.addData(this->contentDigest());
    hash.addData(this->description.previousTurn);
    return hash.result();
}

} // namespace lacewingmux
