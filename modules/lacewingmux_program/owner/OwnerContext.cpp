#include "lacewingmux_program/owner/OwnerContext.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/events/EventCodec.h"

#include <utility>

namespace lacewingmux {

namespace {

const QByteArray replicaHeader = QByteArrayLiteral("Lacewingmux-Replica");
const QByteArray zoneHeader = QByteArrayLiteral("Lacewingmux-Zone");

} // namespace

OwnerContext::OwnerContext(OwnerEnvironment ownerEnvironment)
    : environment(std::move(ownerEnvironment))
    , slots(this->environment.journal)
    , requests(this->environment.timers)
{ }

EventTime OwnerContext::now() const
{
    return this->environment.timers.wallNow();
}

Allowance OwnerContext::allowanceOf(const QString &team) const
{
    const auto &configuration = this->environment.configuration;
    const Allowance *found = configuration ? configuration->allowanceOf(team) : nullptr;
    return found == nullptr ? Allowance() : *found;
}

void OwnerContext::record(Program &program, const ProgramEvent &event,
                          OwnedSlots::Continuation committed)
{
    const QByteArray entry = encodeEvents({event});
    const auto aggregate = programAggregate(program.opening().program);
    this->programs.record(program, event, entry);
    this->slots.append(*aggregate, entry, std::move(committed));
}

void OwnerContext::refuse(OwnerRequestHandle handle, const LacewingmuxError &error,
                          std::function<bool()> mayHaveRun)
{
    PendingRequest *pending = this->requests.find(handle);
    if (pending == nullptr)
        return;
    if (error.executed() != Executed::No || !pending->slot) {
        this->requests.fail(handle, error);
        return;
    }
    pending->stage = RequestStage::Deciding;
    pending->refused = true;
    this->slots.confirm(*pending->slot, [this, handle, error, ran = std::move(mayHaveRun)] {
        const Executed executed = ran && ran() ? Executed::Unknown : Executed::No;
        this->requests.fail(handle, LacewingmuxError(error.kind(), error.message(), executed,
                                                     error.retryAfter()));
    });
}

void OwnerContext::checkNotDraining() const
{
    if (this->draining)
        throw LacewingmuxError(ErrorKind::ShuttingDown,
                               QStringLiteral("this VM hands its work over to another"));
}

void OwnerContext::respondWithOutcome(OwnerRequestHandle handle, const RecordedCall &call)
{
    const CallFinished &finish = *call.finish;
    if (!finish.completed) {
        this->requests.fail(handle,
                            LacewingmuxError(finish.error, finish.message, finish.executed));
        return;
    }
    std::vector<HttpHeader> headers = finish.headers;
    headers.push_back({replicaHeader, finish.replica.toUtf8()});
    headers.push_back({zoneHeader, finish.zone.toUtf8()});
    this->requests.respond(handle, finish.httpStatus, headers, finish.body.unpack());
}

} // namespace lacewingmux
