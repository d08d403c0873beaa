#include "lacewingmux_program/programs/Program.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr std::size_t maximumSubAgents = 1000; ///< per program

[[noreturn]] void throwInvalidEvent(const char *what)
{
    throw LacewingmuxError(ErrorKind::InternalError,
                           QStringLiteral("impossible event of a program: ") + QLatin1String(what));
}

/** Returns the tokens that the engine reported, or the whole reservation if it reported none. */
std::int64_t usedTokens(const CallStarted &start, const DispatchResult &result)
{
    if (!start.model)
        return 0;
    const std::int64_t reported = result.inputTokens + result.outputTokens;
    const bool refusedByEngine = result.completed && result.httpStatus >= firstErrorStatus;
    return reported == 0 && !refusedByEngine ? start.reservedTokens : reported;
}

/** Appends the events of a failed, released call, so that compaction keeps nextMayHaveRun. */
void appendReleasedCall(std::vector<ProgramEvent> &events, const Agent &agent, AgentIndex index,
                        EventTime at)
{
    CallStarted start;
    start.agent = index;
    start.number = agent.nextNumber();
    start.at = at;
    events.emplace_back(start);
    events.emplace_back(CallReleased{start.agent, start.number, Executed::Unknown, 0, at});
}

} // namespace

Program::Program(const ProgramOpened &opening)
    : openedEvent(opening)
    , tokenBudget(opening.budgetTokens)
    , lastActivity(opening.at)
    , releasedCallCharges(opening.chargedTokens)
{
    Agent root;
    root.id = opening.program;
    this->agentList.push_back(root);
    this->tokenBudget.settle(0, opening.chargedTokens);
}

std::unique_ptr<Program> Program::rebuild(const std::vector<ProgramEvent> &events)
{
    if (events.empty() || !std::holds_alternative<ProgramOpened>(events.front()))
        throwInvalidEvent("the first one is not its opening");
    auto program = std::make_unique<Program>(std::get<ProgramOpened>(events.front()));
    for (std::size_t index = 1; index < events.size(); ++index)
        program->apply(events[index]);
    return program;
}

void Program::apply(const ProgramEvent &event)
{
    std::visit([this](const auto &typed) { this->applyEvent(typed); }, event);
    std::visit(
            [this](const auto &typed) {
                this->lastActivity = std::max(this->lastActivity, typed.at);
            },
            event);
}

std::vector<ProgramEvent> Program::compactEvents() const
{
    std::vector<ProgramEvent> events;
    ProgramOpened opening = this->openedEvent;
    opening.chargedTokens = this->releasedCallCharges;
    events.emplace_back(opening);
    for (std::size_t index = 1; index < this->agentList.size(); ++index)
        events.emplace_back(SubAgentOpened{this->agentList[index].id, this->agentList[index].parent,
                                           this->openedEvent.at});
    for (std::size_t index = 0; index < this->agentList.size(); ++index) {
        const auto number = static_cast<AgentIndex>(index);
        const Agent &agent = this->agentList[index];
        for (const RecordedCall &call : agent.calls) {
            events.emplace_back(call.start);
            if (call.finish)
                events.emplace_back(*call.finish);
        }
        if (agent.nextMayHaveRun && !agent.isRunning())
            appendReleasedCall(events, agent, number, this->lastActivity);
    }
    for (std::size_t index = this->agentList.size(); index > 0; --index) {
        const auto number = static_cast<AgentIndex>(index - 1);
        const Agent &agent = this->agentList[number];
        if (agent.endReason)
            events.emplace_back(ProgramEnded{number, *agent.endReason,
                                             number == 0 ? this->endTime : this->lastActivity});
        if (agent.memoryReleased)
            events.emplace_back(MemoryReleased{number, this->lastActivity});
    }
    return events;
}

std::optional<AgentIndex> Program::agentOf(const QString &id) const
{
    const auto found = std::find_if(this->agentList.begin(), this->agentList.end(),
                                    [&id](const Agent &agent) { return agent.id == id; });
    if (found == this->agentList.end())
        return std::nullopt;
    return static_cast<AgentIndex>(found - this->agentList.begin());
}

const RecordedCall *Program::call(AgentIndex agent, std::uint32_t number) const
{
    return agent < this->agentList.size() ? this->agentList[agent].call(number) : nullptr;
}

bool Program::mayHaveRun(AgentIndex agent, std::uint32_t number) const
{
    if (this->call(agent, number) != nullptr)
        return true;
    return agent < this->agentList.size() && this->agentList[agent].nextMayHaveRun
           && this->agentList[agent].nextNumber() == number;
}

bool Program::isRunning() const noexcept
{
    return std::any_of(this->agentList.begin(), this->agentList.end(),
                       [](const Agent &agent) { return agent.isRunning(); });
}

std::int64_t Program::turns() const noexcept
{
    std::int64_t count = 0;
    for (const Agent &agent : this->agentList)
        count += static_cast<std::int64_t>(agent.calls.size());
    return count;
}

std::optional<EventTime> Program::deadline() const
{
    if (this->hasEnded())
        return std::nullopt;
    std::optional<EventTime> due;
    if (this->openedEvent.timeout.count() > 0)
        due = this->openedEvent.at + this->openedEvent.timeout;
    if (this->openedEvent.idleTimeout.count() > 0 && !this->isRunning()) {
        const EventTime idleDue = this->lastActivity + this->openedEvent.idleTimeout;
        due = due ? std::min(*due, idleDue) : idleDue;
    }
    return due;
}

CallDecision Program::decideCall(const CallCommand &command, EventTime now) const
{
    if (command.agent >= this->agentList.size())
        return CallDecision::refuse(ErrorKind::UnknownProgram,
                                    QStringLiteral("the program has no such sub-agent"));
    if (command.number == 0)
        return CallDecision::refuse(ErrorKind::MalformedRequest,
                                    QStringLiteral("calls are numbered from 1"));
    const Agent &agent = this->agentList[command.agent];
    if (const RecordedCall *known = agent.call(command.number))
        return this->decideKnownCall(*known, command);
    if (const auto limit = this->checkLimits(agent, now))
        return *limit;
    if (command.number == agent.nextNumber() && !agent.isRunning())
        return this->decideStart(command, now);
    if (command.number - agent.nextNumber() < maximumCallsAhead)
        return CallDecision::of(CallAction::Wait);
    return CallDecision::refuse(
            ErrorKind::CallOutOfOrder,
            QStringLiteral("the next call of the program is %1").arg(agent.nextNumber()));
}

CallDecision Program::decideKnownCall(const RecordedCall &known, const CallCommand &command) const
{
    if (known.start.digest != command.digest)
        return CallDecision::refuse(
                ErrorKind::CallConflict,
                QStringLiteral("call %1 came before with a different content").arg(command.number));
    return CallDecision::of(known.finish ? CallAction::Replay : CallAction::Join);
}

std::optional<CallDecision> Program::checkLimits(const Agent &agent, EventTime now) const
{
    if (agent.endReason)
        return CallDecision::refuse(*agent.endReason, QStringLiteral("the program has ended"));
    if (const auto expiry = this->decideExpiry(now)) {
        auto decision = CallDecision::refuse(ErrorKind::ProgramTimeout,
                                             QStringLiteral("the program's time is over"));
        decision.endProgram = expiry->reason;
        return decision;
    }
    if (this->openedEvent.turnLimit > 0 && this->turns() >= this->openedEvent.turnLimit) {
        auto decision = CallDecision::refuse(ErrorKind::TurnLimitReached,
                                             QStringLiteral("the plan allows %1 calls a program")
                                                     .arg(this->openedEvent.turnLimit));
        decision.endProgram = ErrorKind::TurnLimitReached;
        return decision;
    }
    return std::nullopt;
}

CallDecision Program::decideStart(const CallCommand &command, EventTime now) const
{
    const Agent &agent = this->agentList[command.agent];
    const std::int64_t bound =
            command.model ? agent.prefixTokens + command.newInputTokens + command.maxOutputTokens
                          : 0;
    if (!this->tokenBudget.canReserve(bound)) {
        auto decision = CallDecision::refuse(
                ErrorKind::BudgetExhausted,
                QStringLiteral("the call may use %1 tokens; %2 of %3 are spent, %4 reserved")
                        .arg(bound)
                        .arg(this->tokenBudget.spent())
                        .arg(this->tokenBudget.limit())
                        .arg(this->tokenBudget.reserved()));
        if (this->tokenBudget.isExhausted())
            decision.endProgram = ErrorKind::BudgetExhausted;
        return decision;
    }
    auto decision = CallDecision::of(CallAction::Start);
    decision.started = CallStarted{command.agent,
                                   command.number,
                                   command.digest,
                                   command.route,
                                   command.keyId,
                                   command.model,
                                   command.idempotent,
                                   bound,
                                   command.maxOutputTokens,
                                   command.method,
                                   command.path,
                                   command.headers,
                                   PackedBytes::pack(command.body),
                                   now};
    return decision;
}

ProgramEvent Program::decideOutcome(AgentIndex agent, std::uint32_t number,
                                    const DispatchResult &result, EventTime now) const
{
    const RecordedCall *running = this->call(agent, number);
    if (running == nullptr || running->finish)
        throwInvalidEvent("outcome of a call that doesn't run");
    const CallStarted &start = running->start;
    const std::int64_t reported = result.inputTokens + result.outputTokens;
    if (!result.completed && (result.executed == Executed::No || start.idempotent))
        return CallReleased{
                agent, number, result.executed,
                start.model ? this->tokenBudget.chargeable(start.reservedTokens, reported) : 0,
                now};
    const std::int64_t used = usedTokens(start, result);
    const std::int64_t charged = this->tokenBudget.chargeable(start.reservedTokens, used);

    CallFinished finish;
    finish.agent = agent;
    finish.number = number;
    finish.completed = result.completed;
    finish.error = result.error;
    finish.message = result.errorMessage;
    finish.executed = result.completed ? Executed::Yes : result.executed;
    finish.httpStatus = result.httpStatus;
    finish.headers = result.headers;
    finish.body = PackedBytes::pack(result.body);
    finish.chargedTokens = charged;
    finish.prefixTokens = used;
    finish.replica = result.replica;
    finish.zone = result.zone;
    finish.at = now;
    const bool beyondBound =
            start.model && (charged < used || result.outputTokens > start.maxOutputTokens);
    if (result.completed && beyondBound) {
        finish.completed = false;
        finish.error = ErrorKind::BackendFailed;
        finish.message = QStringLiteral("the answer went beyond the call's bound of tokens");
        finish.body = PackedBytes();
    }
    return finish;
}

std::vector<ProgramEvent> Program::decideTakeover(EventTime now) const
{
    std::vector<ProgramEvent> events;
    for (std::size_t index = 0; index < this->agentList.size(); ++index) {
        const Agent &agent = this->agentList[index];
        if (!agent.isRunning() || agent.calls.back().start.idempotent)
            continue;
        DispatchResult lost;
        lost.error = ErrorKind::ExecutionUnknown;
        lost.errorMessage = QStringLiteral("the VM that ran the call was lost");
        lost.executed = Executed::Unknown;
        events.push_back(this->decideOutcome(static_cast<AgentIndex>(index),
                                             agent.calls.back().start.number, lost, now));
    }
    return events;
}

std::optional<ProgramEnded> Program::decideExpiry(EventTime now) const
{
    const auto due = this->deadline();
    if (!due || now < *due)
        return std::nullopt;
    return ProgramEnded{0, ErrorKind::ProgramTimeout, now};
}

SubAgentOpened Program::decideSubAgent(const QString &id, AgentIndex parent, EventTime now) const
{
    if (parent >= this->agentList.size())
        throw LacewingmuxError(ErrorKind::UnknownProgram,
                               QStringLiteral("the parent is no agent of the program"));
    if (const auto limit = this->checkLimits(this->agentList[parent], now))
        throw LacewingmuxError(limit->refusal, limit->reason);
    if (this->agentList.size() > maximumSubAgents)
        throw LacewingmuxError(
                ErrorKind::TurnLimitReached,
                QStringLiteral("a program has at most %1 sub-agents").arg(maximumSubAgents));
    return SubAgentOpened{id, parent, now};
}

void Program::applyEvent(const ProgramOpened & /*event*/)
{
    throwInvalidEvent("opened twice");
}

void Program::applyEvent(const SubAgentOpened &event)
{
    if (event.parent >= this->agentList.size())
        throwInvalidEvent("sub-agent of an unknown parent");
    Agent agent;
    agent.id = event.subAgent;
    agent.parent = event.parent;
    this->agentList.push_back(agent);
}

void Program::applyEvent(const CallStarted &event)
{
    if (event.agent >= this->agentList.size())
        throwInvalidEvent("call of an unknown agent");
    Agent &agent = this->agentList[event.agent];
    if (agent.isRunning() || event.number != agent.nextNumber())
        throwInvalidEvent("call out of order");
    this->tokenBudget.reserve(event.reservedTokens);
    agent.calls.push_back({event, std::nullopt});
}

void Program::applyEvent(const CallFinished &event)
{
    Agent &agent = this->runningAgent(event.agent, event.number);
    this->tokenBudget.settle(agent.calls.back().start.reservedTokens, event.chargedTokens);
    agent.calls.back().finish = event;
    agent.nextMayHaveRun = false;
    if (agent.calls.back().extendsHistory())
        agent.prefixTokens = event.prefixTokens;
}

void Program::applyEvent(const CallReleased &event)
{
    Agent &agent = this->runningAgent(event.agent, event.number);
    this->tokenBudget.settle(agent.calls.back().start.reservedTokens, event.chargedTokens);
    this->releasedCallCharges += event.chargedTokens;
    agent.calls.pop_back();
    if (event.executed != Executed::No)
        agent.nextMayHaveRun = true;
}

void Program::applyEvent(const ProgramEnded &event)
{
    if (event.agent >= this->agentList.size())
        throwInvalidEvent("end of an unknown agent");
    for (std::size_t index = event.agent; index < this->agentList.size(); ++index) {
        Agent &agent = this->agentList[index];
        const bool affected = index == event.agent
                              || (index > 0 && this->agentList[agent.parent].endReason.has_value());
        if (affected && !agent.endReason)
            agent.endReason = event.reason;
    }
    if (event.agent == 0)
        this->endTime = event.at;
}

void Program::applyEvent(const MemoryReleased &event)
{
    if (event.agent >= this->agentList.size())
        throwInvalidEvent("release of an unknown agent");
    this->agentList[event.agent].memoryReleased = true;
}

Agent &Program::runningAgent(AgentIndex agent, std::uint32_t number)
{
    if (agent >= this->agentList.size() || !this->agentList[agent].isRunning()
        || this->agentList[agent].calls.back().start.number != number)
        throwInvalidEvent("end of a call that doesn't run");
    return this->agentList[agent];
}

} // namespace lacewingmux
