#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/routing/RoutingTable.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"

#include <string_view>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

/** Returns how the end of the response is marked, for the log. */
const char *framingOf(const HttpResponseHead &head)
{
    if (head.status == 0)
        return "none";
    if (head.bodyEndsAtClose)
        return "close";
    return fieldValue(head.fields, "Transfer-Encoding").isEmpty() ? "length" : "chunked";
}

const char *describe(std::optional<ConnectResult> probe)
{
    if (!probe)
        return "none";
    switch (*probe) {
    case ConnectResult::Connected:
        return "connected";
    case ConnectResult::Refused:
        return "refused";
    case ConnectResult::Silent:
        return "silent";
    case ConnectResult::TunnelFailed:
        return "tunnelFailed";
    }
    return "";
}

} // namespace

void ForwardedCall::logAttempt(const char *outcome) const
{
    const bool streamed = this->attempt.head.status != 0 && this->attempt.isStream;
    const qsizetype cutBytes = streamed ? this->attempt.eventParser.partialBytes() : 0;
    const int discarded = this->attempt.connection->discardedResponses();
    this->context.metrics.count("lacewingmux_replica_attempts_total",
                                {{QStringLiteral("outcome"), QLatin1String(outcome)}}, 1);
    if (cutBytes > 0)
        this->context.metrics.count("lacewingmux_cut_events_total", {}, 1);
    if (discarded > 0)
        this->context.metrics.count("lacewingmux_discarded_responses_total", {}, discarded);
    const std::string_view name = outcome;
    const bool isUsual = name == ReplicaAttempt::complete || name == ReplicaAttempt::cancelled;
    // Nothing but the end of its connection shows that such a response is whole.
    const bool endsAtClose = name == ReplicaAttempt::complete && this->attempt.head.bodyEndsAtClose;
    if (isUsual && this->attempt.number == 1 && cutBytes == 0 && discarded == 0 && !endsAtClose)
        return;
    const auto silence = std::chrono::floor<milliseconds>(this->now() - this->attempt.lastActivity);
    const auto &tunnel = this->attempt.connection->tunnel();
    LogEvent line(LogSeverity::Info, "attemptEnded");
    line.field("request", this->description.requestId)
            .field("attempt", this->attempt.number)
            .field("replica", this->attempt.replica)
            .field("started", static_cast<qint64>(this->attempt.startMilliseconds))
            .field("outcome", outcome)
            .field("status", this->attempt.head.status)
            .field("framing", framingOf(this->attempt.head))
            .field("bodyBytes", static_cast<qint64>(this->attempt.body.size()))
            .field("events", static_cast<qint64>(this->attempt.events))
            .field("resumedAfter", this->attempt.resumedAfter)
            .field("lastEvent", this->delivered.lastId())
            .field("cutBytes", static_cast<qint64>(cutBytes))
            .field("exchange", this->attempt.connection->exchangeCount())
            .field("discarded", discarded)
            .field("trailingBytes", static_cast<qint64>(this->attempt.trailing.size()))
            .field("silentFor", static_cast<qint64>(silence.count()))
            .field("probe", describe(this->attempt.probeResult));
    if (tunnel)
        line.field("tunnel", tunnel->endpoint().vm);
}

void ForwardedCall::recordOutcome(const char *outcome) const
{
    this->logOutcome(outcome);
    this->context.metrics.observe(
            "lacewingmux_request_duration_seconds",
            {{QStringLiteral("outcome"), QLatin1String(outcome)}},
            std::chrono::floor<std::chrono::microseconds>(this->now() - this->arrived));
    this->context.metrics.count("lacewingmux_calls_total",
                                {{QStringLiteral("outcome"), QLatin1String(outcome)}}, 1);
    if (this->possibleRuns > 0 && !this->endReason.isEmpty())
        this->context.metrics.count(
                "lacewingmux_early_ends_total",
                {{QStringLiteral("outcome"), QLatin1String(outcome)},
                 {QStringLiteral("reason"), QString::fromLatin1(this->endReason)}},
                1);
}

void ForwardedCall::logOutcome(const char *outcome) const
{
    const auto elapsed = std::chrono::floor<milliseconds>(this->now() - this->arrived);
    LogEvent line(LogSeverity::Info, "callEnded");
    line.field("request", this->description.requestId)
            .field("outcome", outcome)
            .field("milliseconds", static_cast<qint64>(elapsed.count()))
            .field("route", this->route.name);
    if (!this->endReason.isEmpty())
        line.field("reason", this->endReason);
    if (!this->team.name.isEmpty())
        line.field("team", this->team.name);
    if (this->quotaRefused)
        line.field("requestsPerSecond", this->team.requestsPerSecond)
                .field("burst", this->team.burst)
                .field("reserve", this->quotaRequest.reserve);
    if (!this->description.program.isEmpty())
        line.field("program", this->description.program);
    if (!this->turnRequest.previousTurn.isEmpty())
        line.field("previousTurn", this->turnRequest.previousTurn);
    if (!this->attempt.replica.isEmpty())
        line.field("replica", this->attempt.replica)
                .field("status", this->attempt.head.status)
                .field("runs", this->possibleRuns)
                .field("admittedAfter", static_cast<qint64>(this->admissionTime.count()))
                .field("sentAfter",
                       static_cast<qint64>(
                               this->timeToFirstSend.value_or(milliseconds(0)).count()));
    if (this->rejections > 0)
        line.field("rejections", this->rejections);
    if (this->delivered.count() > 0)
        line.field("events", static_cast<qint64>(this->delivered.count()))
                .field("firstEventAfter", static_cast<qint64>(this->timeToFirstEvent.count()));
    if (this->context.table)
        line.field("configuration", static_cast<quint64>(this->context.table->version()));
}

} // namespace lacewingmux
