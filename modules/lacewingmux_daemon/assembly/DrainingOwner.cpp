#include "lacewingmux_daemon/assembly/DrainingOwner.h"

#include "lacewingmux_core/time/TimerService.h"

namespace lacewingmux {

namespace {

bool isNewWork(const OwnerRequest &request)
{
    switch (request.operation) {
    case OwnerOperation::OpenProgram:
    case OwnerOperation::Call:
    case OwnerOperation::ServiceCall:
    case OwnerOperation::ChatCompletion:
        return true;
    default:
        return false;
    }
}

/** An earlier attempt at a request that can be recognised may have been run here. */
Executed executedBefore(const OwnerRequest &request)
{
    const bool recognisable =
            request.operation == OwnerOperation::Call || !request.idempotencyKey.isEmpty();
    return recognisable ? Executed::Unknown : Executed::No;
}

constexpr OwnerRequestHandle refusedHandle = 0; ///< the owner's own handles start at 1

} // namespace

DrainingOwner::DrainingOwner(OwnerService &ownerService, TimerService &timerService)
    : owner(ownerService)
    , timers(timerService)
{ }

OwnerRequestHandle DrainingOwner::handle(const OwnerRequest &request, ResponseSink sink)
{
    if (!this->draining || !isNewWork(request))
        return this->owner.handle(request, std::move(sink));
    const LacewingmuxError refusal(ErrorKind::OwnerUnavailable,
                                   QStringLiteral("this VM is stopping and takes no new work"),
                                   executedBefore(request));
    this->timers.post([sink = std::move(sink), refusal] { sink.fail(refusal); });
    return refusedHandle;
}

void DrainingOwner::callerGone(OwnerRequestHandle request)
{
    if (request != refusedHandle)
        this->owner.callerGone(request);
}

void DrainingOwner::withdrawKey(const QString &keyId)
{
    this->owner.withdrawKey(keyId);
}

} // namespace lacewingmux
