#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include <QCryptographicHash>

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds quarantineRetry{30000};
// A trial, or the answer to an earlier run, may end the quarantine soon.
constexpr std::chrono::milliseconds uncertainQuarantineRetry{1000};

} // namespace

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

std::optional<QByteArray> ForwardedCall::quarantinedDigest()
{
    const CrashCorrelator &correlator = this->context.fleet.crashCorrelator();
    // Usually there are no suspects, and the request need not be hashed.
    if (!correlator.hasSuspects())
        return std::nullopt;
    return correlator.quarantinedDigest(this->contentDigest(), this->now(), this->turnDigest());
}

bool ForwardedCall::admitUnlessQuarantined()
{
    const std::optional<QByteArray> refused = this->quarantinedDigest();
    if (!refused)
        return true;
    if (this->context.fleet.crashCorrelator().mayBeTried(*refused, this->now()))
        this->takeTrialQuota(*refused);
    else
        this->refuseQuarantined(*refused);
    return false;
}

void ForwardedCall::takeTrialQuota(const QByteArray &quarantined)
{
    this->context.quota.take(
            crashTrialQuotaRequest(quarantined),
            [weakSelf = this->weak_from_this(), quarantined](const QuotaDecision &decision) {
                const auto self = weakSelf.lock();
                if (!self || self->phase != Phase::Admitting)
                    return;
                if (decision.admitted)
                    self->admit();
                else
                    self->refuseQuarantined(quarantined);
            });
}

void ForwardedCall::refuseQuarantined(const QByteArray &quarantined)
{
    const bool isUncertain = this->context.fleet.crashCorrelator().isUncertain(quarantined);
    // BackendUnavailable states that this call did not run (earlier requests with the same content
    // did), and permits a retry after the given time.
    this->refuse(ErrorKind::BackendUnavailable, "the request crashes the replicas that run it",
                 isUncertain ? uncertainQuarantineRetry : quarantineRetry);
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
