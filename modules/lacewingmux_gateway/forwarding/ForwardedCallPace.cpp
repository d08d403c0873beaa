#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include "lacewingmux_core/metrics/MetricsRecorder.h"

namespace lacewingmux {

namespace {

constexpr int okStatus = 200;
constexpr int firstErrorStatus = 300;
// The time to the first event of a short prompt is mostly that of the network and of one step of
// the replica.
constexpr double minimumReadTokens = 500;

/** Returns whether a response with this report began without a wait: the report counts the call
    itself among those that run, and a slot that is taken may have become free only just now. */
bool startedAtOnce(const std::optional<ReplicaLoadReport> &load)
{
    return load && load->waiting == 0 && load->running < load->slots;
}

} // namespace

void ForwardedCall::recordLoadReport()
{
    // Another instance answered: its report says nothing about the one that was sent the request.
    if (this->attempt.responseInfo.wrongInstance)
        return;
    if (this->attempt.responseInfo.load) {
        this->context.fleet.placement().recordLoad(this->attempt.replica,
                                                   this->attempt.startMilliseconds,
                                                   *this->attempt.responseInfo.load, this->now());
    } else if (this->attempt.responseInfo.invalidLoad) {
        this->context.metrics.count("lacewingmux_load_reports_invalid_total", {}, 1);
        this->context.fleet.recordInvalidLoad(this->attempt.replica,
                                              *this->attempt.responseInfo.invalidLoad);
    }
}

void ForwardedCall::recordEvents(const StreamEvents &events)
{
    this->attempt.events += events.count;
    this->attempt.lastEventArrived = this->now();
    if (this->attempt.firstEvents > 0)
        return;
    this->attempt.firstEvents = this->attempt.events;
    this->attempt.firstEventArrived = this->attempt.lastEventArrived;
    // The time to the first event must not contain a wait for a slot, or events that a replica
    // skips when it resumes a stream. Plain services learn reading per call, in another unit.
    if (this->forEngine && startedAtOnce(this->attempt.responseInfo.load)
        && this->attempt.uncachedTokens >= minimumReadTokens && !this->delivered.isStarted())
        this->recordWork(ReplicaWork::Reading, this->attempt.uncachedTokens,
                         this->attempt.firstEventArrived - this->attempt.sentAt);
}

void ForwardedCall::recordWriting()
{
    if (this->attempt.firstEvents == 0)
        return;
    this->recordWork(ReplicaWork::Writing,
                     static_cast<double>(this->attempt.events - this->attempt.firstEvents),
                     this->attempt.lastEventArrived - this->attempt.firstEventArrived);
}

void ForwardedCall::recordCallDuration()
{
    const bool succeeded =
            this->attempt.head.status >= okStatus && this->attempt.head.status < firstErrorStatus;
    if (!this->forEngine && succeeded && startedAtOnce(this->attempt.responseInfo.load))
        this->recordWork(ReplicaWork::Reading, 1, this->now() - this->attempt.sentAt);
}

void ForwardedCall::recordWork(ReplicaWork work, double amount, ReplicaPace::Milliseconds duration)
{
    if (amount <= 0)
        return;
    Placement &placement = this->context.fleet.placement();
    placement.recordWork(this->attempt.replica, this->attempt.startMilliseconds, work, amount,
                         duration, this->now());
    const std::optional<double> learned =
            placement.learnedDuration(this->attempt.replica, work, this->now());
    if (!learned)
        return;
    const ReplicaPace::Milliseconds seconds(*learned * 1000.0);
    this->context.metrics.observe(
            "lacewingmux_replica_duration_ratio",
            {{QStringLiteral("work"), work == ReplicaWork::Reading ? QStringLiteral("reading")
                                                                   : QStringLiteral("writing")}},
            std::chrono::round<std::chrono::microseconds>(seconds));
    this->context.metrics.set("lacewingmux_replicas_learned", {},
                              static_cast<double>(placement.learnedReplicas()));
}

} // namespace lacewingmux
