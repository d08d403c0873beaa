#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include "lacewingmux_core/errors/ErrorTable.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace lacewingmux {

using std::chrono::milliseconds;

void ForwardedCall::refuse(ErrorKind kind, const char *reason, milliseconds retryAfter)
{
    if (this->possibleRuns > 0)
        this->fail(ErrorKind::BackendFailed, reason);
    else
        this->sendErrorResponse(kind, reason, retryAfter);
}

void ForwardedCall::fail(ErrorKind kind, const char *reason)
{
    if (this->delivered.isStarted())
        this->abortResponse(reason);
    else
        this->sendErrorResponse(kind, reason, milliseconds(0));
}

void ForwardedCall::sendErrorResponse(ErrorKind kind, const char *reason, milliseconds retryAfter)
{
    this->abortExchange(ReplicaAttempt::cancelled);
    this->settleReservation();
    const ErrorAnswer &answer = answerFor(kind);
    HttpFields fields = this->context.dialect.fieldsForOwnResponse(this->description);
    fields.push_back({QByteArrayLiteral("Content-Type"), QByteArrayLiteral("application/json")});
    if (retryAfter.count() > 0)
        fields.push_back({QByteArrayLiteral("Retry-After"),
                          QByteArray::number(static_cast<double>(retryAfter.count()) / 1000.0)});
    const QJsonObject error{{QStringLiteral("kind"), QLatin1String(answer.name)},
                            {QStringLiteral("message"), QLatin1String(reason)}};
    const QJsonObject document{{QStringLiteral("error"), error}};
    this->caller->sendResponse(answer.httpStatus, reasonPhrase(answer.httpStatus), fields,
                               QJsonDocument(document).toJson(QJsonDocument::Compact));
    this->endReason = reason;
    this->end(answer.name);
}

void ForwardedCall::abortResponse(const char *reason)
{
    this->endReason = reason;
    this->abortExchange(ReplicaAttempt::cancelled);
    this->settleReservation();
    this->caller->abort();
    this->end("brokenOff");
}

void ForwardedCall::settleReservation()
{
    if (!std::exchange(this->budgetReserved, false))
        return;
    this->context.turnStore.settle(this->turnRequest, this->deliveredTokens());
}

void ForwardedCall::end(const char *outcome)
{
    if (this->phase == Phase::Ended)
        return;
    this->phase = Phase::Ended;
    this->abortExchange(ReplicaAttempt::cancelled);
    this->deadlineTimer.cancel();
    this->placementTimer.cancel();
    this->releaseResponseMemory();
    this->releaseHistoryMemory();
    if (std::exchange(this->quotaHeld, false))
        this->context.quota.refund(this->quotaRequest);
    this->recordOutcome(outcome);
    const auto hook = std::exchange(this->endedCallback, nullptr);
    if (hook)
        hook();
}

} // namespace lacewingmux
