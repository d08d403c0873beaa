#include "lacewingmux_program/owner/ProgramLifecycle.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/ids/MintedId.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_program/dispatch/CallDispatcher.h"
#include "lacewingmux_program/events/EventCodec.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

/** Attempts to generate an id in a given slot; slotsPerZone are needed on average. */
constexpr int maximumIdAttempts = 64 * slotsPerZone;

/** Number of retention periods after which an unconfirmed release is abandoned. */
constexpr int maximumReleaseRetentionPeriods = 4;
constexpr int statusCreated = 201;
constexpr int statusOk = 200;

QByteArray toBody(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

const std::vector<HttpHeader> &jsonHeaders()
{
    static const std::vector<HttpHeader> headers{
            {QByteArrayLiteral("Content-Type"), QByteArrayLiteral("application/json")}};
    return headers;
}

bool isMemoryReleased(const Program &program)
{
    return std::all_of(program.agents().begin(), program.agents().end(),
                       [](const Agent &agent) { return agent.memoryReleased; });
}

} // namespace

ProgramLifecycle::ProgramLifecycle(OwnerContext &ownerContext)
    : context(ownerContext)
{ }

void ProgramLifecycle::open(OwnerRequestHandle handle)
{
    this->context.checkNotDraining();
    PendingRequest *pending = this->context.requests.find(handle);
    const auto &configuration = this->context.environment.configuration;
    const QString team = pending->request.team;
    const Allowance *allowance = configuration ? configuration->allowanceOf(team) : nullptr;
    if (allowance == nullptr)
        throw LacewingmuxError(ErrorKind::NotPermitted,
                               QStringLiteral("programs are opened by teams that have a plan"));
    ProgramOpened opened;
    opened.program =
            this->generateId([this](SlotIndex slot) { return this->context.slots.isOwned(slot); });
    opened.team = team;
    opened.keyId = pending->request.keyId;
    opened.budgetTokens = allowance->programBudgetTokens;
    opened.turnLimit = allowance->programTurnLimit;
    opened.timeout = allowance->programTimeout;
    opened.idleTimeout = allowance->programIdleTimeout;
    opened.at = this->context.now();
    const QByteArray entry = encodeEvents({opened});
    const auto aggregate = programAggregate(opened.program);
    pending->slot = aggregate->slot();
    this->updateSchedule(this->context.programs.open(opened, entry));
    this->context.slots.append(*aggregate, entry, [this, handle, id = opened.program] {
        this->context.requests.respond(handle, statusCreated, jsonHeaders(),
                                       toBody({{QStringLiteral("program"), id}}));
    });
}

void ProgramLifecycle::openSubAgent(OwnerRequestHandle handle, Program &program,
                                    const QString &parentId)
{
    const SlotIndex slot = programAggregate(program.opening().program)->slot();
    const AgentIndex parent = program.agentOf(parentId).value_or(0);
    const QString id = this->generateId([slot](SlotIndex candidate) { return candidate == slot; });
    const SubAgentOpened event = program.decideSubAgent(id, parent, this->context.now());
    this->context.record(program, event, [this, handle, id, parentId] {
        this->context.requests.respond(
                handle, statusCreated, jsonHeaders(),
                toBody({{QStringLiteral("program"), id}, {QStringLiteral("parent"), parentId}}));
    });
    this->updateSchedule(program);
}

void ProgramLifecycle::end(OwnerRequestHandle handle, Program &program)
{
    const QString id = this->context.requests.find(handle)->request.programId;
    const auto answer = [this, handle, id] {
        this->context.requests.respond(
                handle, statusOk, jsonHeaders(),
                toBody({{QStringLiteral("program"), id}, {QStringLiteral("ended"), true}}));
    };
    const AgentIndex agent = program.agentOf(id).value_or(0);
    if (program.agents()[agent].endReason)
        this->context.slots.confirm(programAggregate(id)->slot(), answer);
    else
        this->endAgent(program, agent, ErrorKind::ProgramEnded, answer);
}

void ProgramLifecycle::endProgram(Program &program, ErrorKind reason)
{
    if (!program.hasEnded())
        this->endAgent(program, 0, reason, {});
}

void ProgramLifecycle::endAgent(Program &program, AgentIndex agent, ErrorKind reason,
                                OwnedSlots::Continuation committed)
{
    const QString root = program.opening().program;
    const auto ended = [this, root, reason, next = std::move(committed)] {
        if (Program *found = this->context.programs.find(root, this->context.now())) {
            if (this->onEnded)
                this->onEnded(*found, reason);
            this->releaseMemory(*found);
            this->updateSchedule(*found);
        }
        if (next)
            next();
    };
    this->context.record(program, ProgramEnded{agent, reason, this->context.now()}, ended);
    this->updateSchedule(program);
    this->context.environment.metrics.count(
            "lacewingmux_programs_ended_total",
            {{QStringLiteral("team"), program.opening().team},
             {QStringLiteral("reason"), QString::fromLatin1(answerFor(reason).name)}},
            1);
}

void ProgramLifecycle::resume(Program &program)
{
    this->releaseMemory(program);
    this->updateSchedule(program);
}

void ProgramLifecycle::releaseMemory(const Program &program)
{
    std::vector<QString> ids;
    for (const Agent &agent : program.agents()) {
        if (agent.endReason && !agent.memoryReleased && !agent.isRunning())
            ids.push_back(agent.id);
    }
    for (const QString &id : ids)
        this->context.environment.dispatcher.programEnded(id);
}

void ProgramLifecycle::recordMemoryRelease(const QString &programId)
{
    const auto aggregate = programAggregate(programId);
    if (!aggregate || !this->context.slots.isOwned(aggregate->slot()))
        return;
    Program *program = this->context.programs.find(programId, this->context.now());
    if (program == nullptr)
        return;
    const AgentIndex agent = program->agentOf(programId).value_or(0);
    if (!program->agents()[agent].endReason || program->agents()[agent].memoryReleased)
        return;
    this->context.record(*program, MemoryReleased{agent, this->context.now()}, {});
    this->updateSchedule(*program);
}

void ProgramLifecycle::updateSchedule(Program &program)
{
    if (!program.hasEnded()) {
        this->context.programs.schedule(program, program.deadline());
        return;
    }
    this->context.programs.schedule(program, this->nextRetentionCheck(program));
    if (!program.isRunning() && isMemoryReleased(program)
        && this->context.programs.entryCount(program) > 1)
        this->compact(program);
}

void ProgramLifecycle::compact(Program &program)
{
    const QByteArray entry = encodeEvents(program.compactEvents());
    this->context.programs.compact(program, entry);
    this->context.slots.replace(*programAggregate(program.opening().program), entry, {});
}

EventTime ProgramLifecycle::nextRetentionCheck(const Program &program) const
{
    const auto retention = this->context.environment.settings.endedProgramRetention;
    EventTime due = program.endedAt() + retention;
    while (due <= this->context.now())
        due += std::max<std::chrono::seconds>(retention, std::chrono::seconds(1));
    return due;
}

void ProgramLifecycle::sweep()
{
    const EventTime now = this->context.now();
    for (const QString &id : this->context.programs.due(now)) {
        if (Program *program = this->context.programs.find(id, now))
            this->expire(*program);
    }
    this->context.programs.unload(now - this->context.environment.settings.unloadAfter);
}

void ProgramLifecycle::expire(Program &program)
{
    const EventTime now = this->context.now();
    if (!program.hasEnded()) {
        if (program.decideExpiry(now))
            this->endProgram(program, ErrorKind::ProgramTimeout);
        else
            this->updateSchedule(program);
        return;
    }
    const auto retention = this->context.environment.settings.endedProgramRetention;
    const bool abandoned = now >= program.endedAt() + maximumReleaseRetentionPeriods * retention;
    if (program.isRunning() || (!isMemoryReleased(program) && !abandoned)) {
        this->releaseMemory(program);
        this->updateSchedule(program);
        return;
    }
    const QString id = program.opening().program;
    if (!isMemoryReleased(program))
        LogEvent(LogSeverity::Warning, "programReleaseUnconfirmed").field("program", id);
    this->context.programs.schedule(program, std::nullopt);
    this->context.slots.remove(*programAggregate(id),
                               [this, id] { this->context.programs.remove(id); });
}

QString ProgramLifecycle::generateId(const std::function<bool(SlotIndex)> &accepts)
{
    const OwnerEnvironment &environment = this->context.environment;
    const std::uint64_t epoch = environment.zoneEpoch ? environment.zoneEpoch() : 0;
    for (int attempt = 0; attempt < maximumIdAttempts; ++attempt) {
        const MintedId id(environment.self.zone, epoch, environment.self.vm,
                          environment.self.incarnation, this->nextSerial++);
        const QString text = id.toString();
        if (accepts(AggregateId(AggregateKind::Program, environment.self.zone, text).slot()))
            return text;
    }
    throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                           QStringLiteral("this VM owns no slot that a program may have"));
}

} // namespace lacewingmux
