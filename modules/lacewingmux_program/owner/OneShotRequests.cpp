#include "lacewingmux_program/owner/OneShotRequests.h"

#include "lacewingmux_config/documents/Configuration.h"

#include <utility>

namespace lacewingmux {

OneShotRequests::OneShotRequests(OwnerContext &ownerContext)
    : context(ownerContext)
{ }

OneShotRequests::~OneShotRequests()
{
    *this->alive = false;
}

void OneShotRequests::run(OwnerRequestHandle handle, const CallCommand &command)
{
    this->context.checkNotDraining();
    PendingRequest *pending = this->context.requests.find(handle);
    auto program = this->openProgram(pending->request);
    CallCommand first = command;
    first.number = 1;
    const CallDecision decision = program->decideCall(first, this->context.now());
    if (decision.action != CallAction::Start)
        throw LacewingmuxError(decision.refusal, decision.reason);
    program->apply(*decision.started);
    pending->stage = RequestStage::Running;
    DispatchRequest request = standaloneDispatchRequest(this->context, pending->request, command);
    const VmIncarnation &self = this->context.environment.self;
    request.requestId = QStringLiteral("once/%1/%2/%3")
                                .arg(self.vm)
                                .arg(self.incarnation)
                                .arg(this->nextSerial++);
    Run &run = this->runs[handle];
    run.program = std::move(program);
    run.dispatch = this->context.environment.dispatcher.dispatch(request, this->listener(handle));
}

std::unique_ptr<Program> OneShotRequests::openProgram(const OwnerRequest &request) const
{
    ProgramOpened opened;
    opened.team = request.team;
    opened.keyId = request.keyId;
    opened.budgetTokens = this->context.allowanceOf(request.team).programBudgetTokens;
    opened.at = this->context.now();
    return std::make_unique<Program>(opened);
}

DispatchListener OneShotRequests::listener(OwnerRequestHandle handle)
{
    DispatchListener listener;
    listener.started = [this, token = this->alive, handle](const QString &) {
        const auto run = *token ? this->runs.find(handle) : this->runs.end();
        if (*token && run != this->runs.end() && run->second.streamed)
            run->second.streamInterrupted = true;
    };
    listener.chunk = [this, token = this->alive, handle](const QByteArray &chunk) {
        if (*token)
            this->forwardChunk(handle, chunk);
    };
    listener.finished = [this, token = this->alive, handle](const DispatchResult &result) {
        if (*token)
            this->finish(handle, result);
    };
    return listener;
}

void OneShotRequests::forwardChunk(OwnerRequestHandle handle, const QByteArray &chunk)
{
    const auto run = this->runs.find(handle);
    if (run == this->runs.end() || run->second.streamInterrupted)
        return;
    run->second.streamed = true;
    const QByteArray forwardable = run->second.finalEvent.feed(chunk);
    this->context.requests.stream(handle, forwardable);
}

void OneShotRequests::finish(OwnerRequestHandle handle, const DispatchResult &result)
{
    const auto found = this->runs.find(handle);
    if (found == this->runs.end())
        return;
    const Run run = std::move(found->second);
    this->runs.erase(found);
    const ProgramEvent event = run.program->decideOutcome(0, 1, result, this->context.now());
    const auto *finish = std::get_if<CallFinished>(&event);
    if (finish == nullptr) {
        this->context.requests.fail(handle, LacewingmuxError(result.error, result.errorMessage,
                                                             result.executed, result.retryAfter));
    } else if (run.streamInterrupted) {
        this->context.requests.fail(handle, LacewingmuxError(ErrorKind::BackendFailed,
                                                             QStringLiteral("the stream broke"),
                                                             Executed::Yes));
    } else if (run.streamed && finish->completed) {
        this->context.requests.stream(handle, run.finalEvent.held());
        this->context.requests.end(handle);
    } else {
        this->context.respondWithOutcome(handle, RecordedCall{CallStarted(), *finish});
    }
}

void OneShotRequests::cancel(OwnerRequestHandle handle, ErrorKind reason)
{
    const auto run = this->runs.find(handle);
    if (run == this->runs.end())
        return;
    const DispatchHandle dispatch = run->second.dispatch;
    this->context.environment.dispatcher.cancel(dispatch, reason);
}

} // namespace lacewingmux
