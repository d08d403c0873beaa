#include "lacewingmux_program/owner/ProgramCalls.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_program/dispatch/DispatchRequest.h"
#include "lacewingmux_program/programs/EngineRequest.h"
#include "lacewingmux_program/requests/CallParser.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::size_t maximumQueuedPerAgent = 64;

LacewingmuxError errorOf(const DispatchResult &result)
{
    return {result.error, result.errorMessage, result.executed, result.retryAfter};
}

SlotIndex slotOf(const QString &programId)
{
    return programAggregate(programId)->slot();
}

} // namespace

ProgramCalls::ProgramCalls(OwnerContext &ownerContext)
    : context(ownerContext)
{ }

ProgramCalls::~ProgramCalls()
{
    *this->alive = false;
}

void ProgramCalls::call(OwnerRequestHandle handle, Program &program)
{
    const PendingRequest *pending = this->context.requests.find(handle);
    if (pending == nullptr || pending->refused)
        return;
    try {
        this->executeDecision(handle, program, this->parse(pending->request, program));
    } catch (const LacewingmuxError &error) {
        this->refuse(handle, error);
    }
}

CallCommand ProgramCalls::parse(const OwnerRequest &request, const Program &program) const
{
    const auto &configuration = this->context.environment.configuration;
    if (!configuration)
        throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                               QStringLiteral("no configuration is known yet"));
    CallCommand command = CallParser(*configuration).parseProgramCall(request);
    command.agent = program.agentOf(request.programId).value_or(0);
    return command;
}

void ProgramCalls::executeDecision(OwnerRequestHandle handle, Program &program,
                                   const CallCommand &command)
{
    const CallDecision decision = program.decideCall(command, this->context.now());
    const QString &root = program.opening().program;
    switch (decision.action) {
    case CallAction::Start:
        this->context.checkNotDraining();
        this->start(handle, program, *decision.started);
        break;
    case CallAction::Wait:
        this->enqueue(handle, {root, command.agent}, command.number);
        break;
    case CallAction::Join:
    case CallAction::Replay:
        this->join(handle, program, command.agent, command.number);
        break;
    case CallAction::Refuse:
        this->refuse(handle, LacewingmuxError(decision.refusal, decision.reason));
        if (decision.endProgram && this->onLimitReached)
            this->onLimitReached(program, *decision.endProgram);
        break;
    }
}

void ProgramCalls::refuse(OwnerRequestHandle handle, const LacewingmuxError &error)
{
    const PendingRequest *pending = this->context.requests.find(handle);
    if (pending == nullptr)
        return;
    this->context.environment.metrics.count(
            "lacewingmux_program_refusals_total",
            {{QStringLiteral("team"), pending->request.team},
             {QStringLiteral("kind"), QString::fromLatin1(answerFor(error.kind()).name)}},
            1);
    if (error.kind() == ErrorKind::CallConflict) {
        this->context.refuse(handle, error);
        return;
    }
    const auto mayHaveRun = [this, id = pending->request.programId,
                             number = pending->request.callNumber] {
        const Program *program = this->context.programs.find(id, this->context.now());
        return program == nullptr || program->mayHaveRun(program->agentOf(id).value_or(0), number);
    };
    const Executed executed = mayHaveRun() ? Executed::Unknown : error.executed();
    this->context.refuse(
            handle, LacewingmuxError(error.kind(), error.message(), executed, error.retryAfter()),
            mayHaveRun);
}

void ProgramCalls::start(OwnerRequestHandle handle, Program &program, const CallStarted &event)
{
    const CallKey key{program.opening().program, event.agent, event.number};
    const std::uint64_t serial = this->nextSerial++;
    CallRun &run = this->runs[key];
    run = CallRun();
    run.serial = serial;
    run.decidedAt = this->context.environment.timers.now();
    run.waiters.push_back(handle);
    if (PendingRequest *pending = this->context.requests.find(handle)) {
        pending->stage = RequestStage::Running;
        if (event.model && pending->request.stream)
            run.streamingWaiter = handle;
    }
    this->context.record(program, event, [this, key, serial] { this->dispatch(key, serial); });
    if (this->onChanged)
        this->onChanged(program);
}

void ProgramCalls::enqueue(OwnerRequestHandle handle, const AgentKey &agent, std::uint32_t number)
{
    Queue &queue = this->queues[agent];
    std::erase_if(queue, [this](const auto &entry) {
        return this->context.requests.find(entry.second) == nullptr;
    });
    if (queue.size() >= maximumQueuedPerAgent) {
        this->refuse(handle, LacewingmuxError(ErrorKind::CallOutOfOrder,
                                              QStringLiteral("too many calls wait already")));
        return;
    }
    if (PendingRequest *pending = this->context.requests.find(handle))
        pending->stage = RequestStage::Queued;
    queue.emplace(number, handle);
}

void ProgramCalls::join(OwnerRequestHandle handle, Program &program, AgentIndex agent,
                        std::uint32_t number)
{
    const auto run = this->runs.find({program.opening().program, agent, number});
    if (run == this->runs.end()) {
        this->context.respondWithOutcome(handle, *program.call(agent, number));
        return;
    }
    run->second.waiters.push_back(handle);
    if (PendingRequest *pending = this->context.requests.find(handle))
        pending->stage = RequestStage::Running;
}

void ProgramCalls::fetch(OwnerRequestHandle handle, Program &program)
{
    const PendingRequest *pending = this->context.requests.find(handle);
    if (pending == nullptr)
        return;
    const AgentIndex agent = program.agentOf(pending->request.programId).value_or(0);
    const std::uint32_t number = pending->request.callNumber;
    if (program.call(agent, number) != nullptr)
        this->join(handle, program, agent, number);
    else
        this->context.refuse(handle, LacewingmuxError(ErrorKind::CallOutOfOrder,
                                                      QStringLiteral("the call has not started")));
}

void ProgramCalls::dispatch(const CallKey &key, std::uint64_t serial)
{
    CallRun *run = this->findRun(key, serial);
    Program *program = this->context.programs.find(key.root, this->context.now());
    if (run == nullptr || program == nullptr)
        return;
    if (run->cancelReason) {
        DispatchResult result;
        result.error = *run->cancelReason;
        this->finish(key, serial, result);
        return;
    }
    const CallStarted &start = program->call(key.agent, key.number)->start;
    DispatchRequest request =
            this->dispatchRequest(*program, start, run->streamingWaiter.has_value());
    request.decidedAt = run->decidedAt;
    run->dispatch =
            this->context.environment.dispatcher.dispatch(request, this->listener(key, serial));
}

DispatchRequest ProgramCalls::dispatchRequest(const Program &program, const CallStarted &start,
                                              bool stream) const
{
    const Allowance allowance = this->context.allowanceOf(program.opening().team);
    const Agent &agent = program.agents()[start.agent];
    DispatchRequest request;
    request.team = program.opening().team;
    request.teamWeight = allowance.weight;
    request.keyId = start.keyId;
    request.rootProgram = program.opening().program;
    request.program = agent.id;
    request.callNumber = start.number;
    request.attainedTokens = program.budget().spent();
    request.prefixTokens = agent.prefixTokens;
    request.maxOutputTokens = start.maxOutputTokens;
    request.route = start.route;
    request.idempotent = start.idempotent;
    request.requestId = agent.id + u'/' + QString::number(start.number);
    request.contentDigest = start.digest;
    request.method = start.method;
    request.path = start.path;
    request.headers = start.headers;
    request.body =
            start.model ? engineRequestBody(agent, start.number, stream) : start.body.unpack();
    request.stream = stream;
    request.queueTimeout = allowance.queueTimeout;
    request.runTimeout = allowance.callTimeout;
    return request;
}

DispatchListener ProgramCalls::listener(const CallKey &key, std::uint64_t serial)
{
    DispatchListener listener;
    listener.started = [this, token = this->alive, key, serial](const QString &) {
        CallRun *run = *token ? this->findRun(key, serial) : nullptr;
        if (run != nullptr && run->streamed)
            run->streamInterrupted = true;
    };
    listener.chunk = [this, token = this->alive, key, serial](const QByteArray &chunk) {
        if (*token)
            this->forwardChunk(key, serial, chunk);
    };
    listener.confirmOwnership = [this, token = this->alive, key](std::function<void()> send) {
        if (*token)
            this->context.slots.confirm(programAggregate(key.root)->slot(), std::move(send));
    };
    listener.finished = [this, token = this->alive, key, serial](const DispatchResult &result) {
        if (*token)
            this->finish(key, serial, result);
    };
    return listener;
}

void ProgramCalls::forwardChunk(const CallKey &key, std::uint64_t serial, const QByteArray &chunk)
{
    CallRun *run = this->findRun(key, serial);
    if (run == nullptr || !run->streamingWaiter || run->streamInterrupted)
        return;
    run->streamed = true;
    const QByteArray forwardable = run->finalEvent.feed(chunk);
    this->context.requests.stream(*run->streamingWaiter, forwardable);
}

void ProgramCalls::finish(const CallKey &key, std::uint64_t serial, DispatchResult result)
{
    CallRun *run = this->findRun(key, serial);
    Program *program = this->context.programs.find(key.root, this->context.now());
    if (run == nullptr || program == nullptr)
        return;
    run->dispatch.reset();
    if (!result.completed && result.executed == Executed::No
        && (run->resumed || program->agents()[key.agent].nextMayHaveRun))
        result.executed = Executed::Unknown;
    const ProgramEvent event =
            program->decideOutcome(key.agent, key.number, result, this->context.now());
    this->context.record(*program, event,
                         [this, key, serial, result] { this->completeRun(key, serial, result); });
    if (this->onChanged)
        this->onChanged(*program);
}

void ProgramCalls::completeRun(const CallKey &key, std::uint64_t serial,
                               const DispatchResult &result)
{
    const CallRun *found = this->findRun(key, serial);
    Program *program = this->context.programs.find(key.root, this->context.now());
    if (found == nullptr || program == nullptr)
        return;
    const CallRun run = *found;
    this->runs.erase(key);
    if (const RecordedCall *call = program->call(key.agent, key.number); call && call->finish)
        this->respondToWaiters(run, *call);
    else
        this->failOrRequeueWaiters(run, key, result);
    if (this->onChanged)
        this->onChanged(*program);
    const Agent &agent = program->agents()[key.agent];
    if (agent.endReason && this->onIdleAfterEnd)
        this->onIdleAfterEnd(*program);
    if (!agent.endReason && !this->queues.contains({key.root, key.agent}))
        this->context.environment.dispatcher.programPaused(agent.id, agent.prefixTokens);
    this->retryQueued({key.root, key.agent});
}

void ProgramCalls::respondToWaiters(const CallRun &run, const RecordedCall &call)
{
    for (const OwnerRequestHandle waiter : run.waiters) {
        const bool receivedChunks = run.streamed && waiter == run.streamingWaiter;
        if (!receivedChunks || !call.finish->completed) {
            this->context.respondWithOutcome(waiter, call);
        } else if (run.streamInterrupted) {
            this->context.requests.fail(
                    waiter, LacewingmuxError(ErrorKind::BackendFailed,
                                             QStringLiteral("the stream broke; fetch the answer"),
                                             Executed::Yes));
        } else {
            this->context.requests.stream(waiter, run.finalEvent.held());
            this->context.requests.end(waiter);
        }
    }
}

void ProgramCalls::failOrRequeueWaiters(const CallRun &run, const CallKey &key,
                                        const DispatchResult &result)
{
    for (const OwnerRequestHandle waiter : run.waiters) {
        const PendingRequest *pending = this->context.requests.find(waiter);
        const bool appliesToWaiter =
                result.error != ErrorKind::KeyWithdrawn || waiter == run.waiters.front();
        if (pending != nullptr && !appliesToWaiter)
            this->enqueue(waiter, {key.root, key.agent}, key.number);
        else
            this->context.requests.fail(waiter, errorOf(result));
    }
}

void ProgramCalls::resume(Program &program)
{
    const QString root = program.opening().program;
    for (const ProgramEvent &event : program.decideTakeover(this->context.now()))
        this->context.record(program, event, {});
    for (const Agent &agent : program.agents()) {
        if (!agent.isRunning())
            continue;
        const CallStarted &start = agent.calls.back().start;
        const CallKey key{root, start.agent, start.number};
        CallRun &run = this->runs[key];
        run = CallRun();
        run.serial = this->nextSerial++;
        run.decidedAt = this->context.environment.timers.now();
        run.resumed = true;
        run.cancelReason = agent.endReason;
        this->dispatch(key, run.serial);
    }
}

void ProgramCalls::cancelEndedAgents(Program &program, ErrorKind reason)
{
    const QString root = program.opening().program;
    std::vector<AgentIndex> ended;
    for (std::size_t index = 0; index < program.agents().size(); ++index) {
        if (program.agents()[index].endReason)
            ended.push_back(static_cast<AgentIndex>(index));
    }
    for (const AgentIndex agent : ended) {
        const CallKey first{root, agent, 0};
        for (auto run = this->runs.lower_bound(first);
             run != this->runs.end() && run->first.root == root && run->first.agent == agent; ++run)
            this->cancel(run->first, run->second, reason);
        this->retryQueued({root, agent});
    }
}

void ProgramCalls::cancel(const CallKey & /*key*/, CallRun &run, ErrorKind reason)
{
    run.cancelReason = reason;
    if (run.dispatch)
        this->context.environment.dispatcher.cancel(*run.dispatch, reason);
}

void ProgramCalls::retryQueued(const AgentKey &agent)
{
    const auto found = this->queues.find(agent);
    Program *program = this->context.programs.find(agent.root, this->context.now());
    if (found == this->queues.end() || program == nullptr)
        return;
    const Queue queue = std::exchange(found->second, {});
    this->queues.erase(found);
    for (const auto &entry : queue)
        this->call(entry.second, *program);
}

void ProgramCalls::deactivateSlot(SlotIndex slot)
{
    std::vector<DispatchHandle> running;
    std::erase_if(this->runs, [slot, &running](const auto &entry) {
        if (slotOf(entry.first.root) != slot)
            return false;
        if (entry.second.dispatch)
            running.push_back(*entry.second.dispatch);
        return true;
    });
    std::erase_if(this->queues,
                  [slot](const auto &entry) { return slotOf(entry.first.root) == slot; });
    for (const DispatchHandle handle : running)
        this->context.environment.dispatcher.cancel(handle, ErrorKind::OwnerUnavailable);
}

void ProgramCalls::withdrawKey(const QString &keyId)
{
    std::vector<CallKey> callsOfKey;
    for (const auto &[key, run] : this->runs) {
        const Program *program = this->context.programs.find(key.root, this->context.now());
        const RecordedCall *call =
                program == nullptr ? nullptr : program->call(key.agent, key.number);
        if (call != nullptr && call->start.keyId == keyId)
            callsOfKey.push_back(key);
    }
    for (const CallKey &call : callsOfKey) {
        const auto run = this->runs.find(call);
        if (run != this->runs.end())
            this->cancel(call, run->second, ErrorKind::KeyWithdrawn);
    }
}

std::size_t ProgramCalls::queuedCount() const noexcept
{
    std::size_t count = 0;
    for (const auto &entry : this->queues)
        count += entry.second.size();
    return count;
}

CallRun *ProgramCalls::findRun(const CallKey &key, std::uint64_t serial)
{
    const auto found = this->runs.find(key);
    return found == this->runs.end() || found->second.serial != serial ? nullptr : &found->second;
}

} // namespace lacewingmux
