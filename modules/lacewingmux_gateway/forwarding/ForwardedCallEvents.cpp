#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/StreamEvents.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Bytes that a slow caller may leave unread before the response is aborted.
constexpr qint64 maximumUnreadBytes = qint64{1024} * 1024;

} // namespace

void ForwardedCall::forwardEvents(const QByteArray &bytes)
{
    const StreamEvents events = this->attempt.eventParser.append(bytes, this->delivered.sequence());
    const bool isWithinAllowance = this->attempt.keepAliveAllowance.take(
            events.excessBytes, this->now() - this->attempt.sentAt);
    if (!isWithinAllowance || !this->accountResponse()) {
        this->handleFailure(ExchangeFailure::Malformed);
        return;
    }
    if (!events.text.isEmpty())
        this->deliverEvents(events);
    if (this->phase == Phase::Ended)
        return;
    if (this->attempt.eventParser.foundOtherResponse())
        this->handleFailure(ExchangeFailure::OtherResponse);
    else if (this->attempt.eventParser.isOutOfSequence())
        this->handleFailure(ExchangeFailure::OutOfSequence);
}

void ForwardedCall::deliverEvents(const StreamEvents &events)
{
    this->recordEvents(events);
    this->delivered.append(events);
    if (this->delivered.isStarted()) {
        this->caller->sendChunk(events.text);
    } else {
        this->delivered.start();
        this->timeToFirstEvent = std::chrono::floor<milliseconds>(this->now() - this->arrived);
        this->phase = Phase::Streaming;
        this->caller->beginStream(this->attempt.head.status, this->attempt.head.reason,
                                  this->context.dialect.fieldsForCaller(this->attempt.head),
                                  events.text);
    }
    if (this->caller->unsentBytes() > maximumUnreadBytes)
        this->abortResponse("the caller does not read");
}

bool ForwardedCall::deliverHeldEvents()
{
    const StreamEvents events = this->attempt.eventParser.finish(this->delivered.sequence());
    if (!events.text.isEmpty())
        this->deliverEvents(events);
    return this->phase != Phase::Ended;
}

} // namespace lacewingmux
