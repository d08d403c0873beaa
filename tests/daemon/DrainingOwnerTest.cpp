#include "lacewingmux_daemon/assembly/DrainingOwner.h"
#include "lacewingmux_core/time/ManualTimerService.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace lacewingmux;

namespace {

/** An owner that takes every request and answers none. */
class SilentOwner final : public OwnerService
{
public:
    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink) override
    {
        this->taken.push_back(request.operation);
        return this->taken.size();
    }
    void callerGone(OwnerRequestHandle request) override
    {
        this->gone.push_back(request);
    }
    void withdrawKey(const QString &) override
    { }

    std::vector<OwnerOperation> taken;
    std::vector<OwnerRequestHandle> gone;
};

OwnerRequest requestOf(OwnerOperation operation, const char *idempotencyKey = "")
{
    OwnerRequest request;
    request.operation = operation;
    request.idempotencyKey = QString::fromLatin1(idempotencyKey);
    return request;
}

/** What a draining owner says of the request; nothing when it takes it. */
std::optional<LacewingmuxError> refusalOf(DrainingOwner &owner, ManualTimerService &timers,
                                          const OwnerRequest &request)
{
    std::optional<LacewingmuxError> refusal;
    ResponseSink sink;
    sink.fail = [&refusal](const LacewingmuxError &error) { refusal = error; };
    owner.callerGone(owner.handle(request, sink));
    cr_assert_not(refusal.has_value(), "the sink must not be called before handle returns");
    timers.runPosted();
    return refusal;
}

} // namespace

Test(DrainingOwner, takesEverythingUntilItDrains)
{
    SilentOwner silent;
    ManualTimerService timers;
    DrainingOwner owner(silent, timers);
    cr_assert_not(refusalOf(owner, timers, requestOf(OwnerOperation::Call)).has_value());
    cr_assert_eq(silent.gone.size(), 1);
}

Test(DrainingOwner, sendsNewWorkAwayAndGoesOnReading)
{
    SilentOwner silent;
    ManualTimerService timers;
    DrainingOwner owner(silent, timers);
    owner.beginDrain();
    for (const OwnerOperation operation :
         {OwnerOperation::FetchCall, OwnerOperation::FetchHistory, OwnerOperation::EndProgram})
        cr_assert_not(refusalOf(owner, timers, requestOf(operation)).has_value());
    cr_assert_eq(silent.taken.size(), 3);

    const auto opening = refusalOf(owner, timers, requestOf(OwnerOperation::OpenProgram));
    cr_assert(opening && opening->kind() == ErrorKind::OwnerUnavailable);
    cr_assert(opening->executed() == Executed::No);
    cr_assert_eq(silent.taken.size(), 3);
}

Test(DrainingOwner, neverPromisesNotRunForARequestThatMayHaveRunBefore)
{
    SilentOwner silent;
    ManualTimerService timers;
    DrainingOwner owner(silent, timers);
    owner.beginDrain();
    const auto call = refusalOf(owner, timers, requestOf(OwnerOperation::Call));
    const auto keyed = refusalOf(owner, timers, requestOf(OwnerOperation::ServiceCall, "order-7"));
    cr_assert(call && call->executed() == Executed::Unknown);
    cr_assert(keyed && keyed->executed() == Executed::Unknown);
}
