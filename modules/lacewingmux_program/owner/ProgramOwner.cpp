#include "lacewingmux_program/owner/ProgramOwner.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/programs/HistoryDocument.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace lacewingmux {

namespace {

/** Time for a cancelled run or a pending refusal to produce its response before a timeout. */
constexpr std::chrono::milliseconds responseGracePeriod{1000};
constexpr int statusOk = 200;

/** Returns the id of the program a request refers to; for a new sub-agent, its parent. */
QString targetProgram(const OwnerRequest &request)
{
    if (request.operation != OwnerOperation::OpenProgram || !request.programId.isEmpty())
        return request.programId;
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    return body.value(QLatin1String("parent")).toString();
}

/** Returns the execution state to report for a request whose record is not available here. */
Executed executedWithoutRecord(const OwnerRequest &request)
{
    return request.operation == OwnerOperation::Call ? Executed::Unknown : Executed::No;
}

} // namespace

ProgramOwner::ProgramOwner(OwnerEnvironment ownerEnvironment)
    : context(std::move(ownerEnvironment))
    , calls(this->context)
    , lifecycle(this->context)
    , oneShots(this->context)
    , keyedRequests(this->context)
{
    this->connectCallbacks();
}

ProgramOwner::~ProgramOwner()
{
    *this->alive = false;
    this->context.environment.dispatcher.setReleaseHandler({});
}

void ProgramOwner::connectCallbacks()
{
    this->calls.onLimitReached = [this](Program &program, ErrorKind reason) {
        this->lifecycle.endProgram(program, reason);
    };
    this->calls.onChanged = [this](Program &program) { this->lifecycle.updateSchedule(program); };
    this->calls.onIdleAfterEnd = [this](Program &program) {
        this->lifecycle.releaseMemory(program);
    };
    this->lifecycle.onEnded = [this](Program &program, ErrorKind reason) {
        this->calls.cancelEndedAgents(program, reason);
    };
    this->context.requests.onTimeout = [this](OwnerRequestHandle handle) {
        this->handleTimeout(handle);
    };
    this->context.slots.onActivated = [this](SlotIndex /*slot*/,
                                             const std::vector<AggregateRecord> &records) {
        this->activateSlot(records);
    };
    this->context.slots.onDeactivated = [this](SlotIndex slot) { this->deactivateSlot(slot); };
    this->context.environment.dispatcher.setReleaseHandler(
            [this](const QString &program) { this->lifecycle.recordMemoryRelease(program); });
    this->sweepTimer = this->context.environment.timers.every(
            this->context.environment.settings.sweepInterval, [this] {
                this->lifecycle.sweep();
                this->keyedRequests.sweep();
            });
}

void ProgramOwner::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    this->context.environment.configuration = std::move(configuration);
}

void ProgramOwner::beginDraining()
{
    this->context.draining = true;
}

OwnerRequestHandle ProgramOwner::handle(const OwnerRequest &request, ResponseSink sink)
{
    const OwnerRequestHandle handle = this->context.requests.add(request, std::move(sink));
    this->context.environment.timers.post([this, token = this->alive, handle] {
        if (*token)
            this->process(handle);
    });
    return handle;
}

void ProgramOwner::process(OwnerRequestHandle handle)
{
    const PendingRequest *pending = this->context.requests.find(handle);
    if (pending == nullptr)
        return;
    const OwnerOperation operation = pending->request.operation;
    try {
        if (operation == OwnerOperation::ServiceCall
            || operation == OwnerOperation::ChatCompletion) {
            this->processStandaloneRequest(handle);
            return;
        }
        const QString programId = targetProgram(pending->request);
        if (operation == OwnerOperation::OpenProgram && programId.isEmpty())
            this->lifecycle.open(handle);
        else
            this->processProgramRequest(handle, programId);
    } catch (const LacewingmuxError &error) {
        this->context.refuse(handle, error);
    }
}

void ProgramOwner::processStandaloneRequest(OwnerRequestHandle handle)
{
    const OwnerRequest request = this->context.requests.find(handle)->request;
    const Configuration *configuration = this->context.environment.configuration.get();
    const Route *route = configuration == nullptr ? nullptr : configuration->route(request.route);
    if (!request.idempotencyKey.isEmpty() && (route == nullptr || !route->idempotent)) {
        this->keyedRequests.handle(handle);
        return;
    }
    this->oneShots.run(handle, parseStandaloneRequest(this->context, request));
}

void ProgramOwner::processProgramRequest(OwnerRequestHandle handle, const QString &programId)
{
    PendingRequest &pending = *this->context.requests.find(handle);
    Program &program = this->programFor(pending, programId);
    switch (pending.request.operation) {
    case OwnerOperation::OpenProgram:
        this->lifecycle.openSubAgent(handle, program, programId);
        break;
    case OwnerOperation::Call:
        this->calls.call(handle, program);
        break;
    case OwnerOperation::FetchCall:
        this->calls.fetch(handle, program);
        break;
    case OwnerOperation::FetchHistory:
        this->context.slots.confirm(
                *pending.slot, [this, handle, programId] { this->sendHistory(handle, programId); });
        break;
    default:
        this->lifecycle.end(handle, program);
        break;
    }
}

Program &ProgramOwner::programFor(PendingRequest &pending, const QString &programId)
{
    const auto aggregate = programAggregate(programId);
    if (!aggregate)
        throw LacewingmuxError(ErrorKind::UnknownProgram,
                               QStringLiteral("this is no id of a program"));
    const Executed executed = executedWithoutRecord(pending.request);
    if (aggregate->zone() != this->context.environment.self.zone
        || !this->context.slots.isOwned(aggregate->slot()))
        throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                               QStringLiteral("this VM doesn't own the program"), executed);
    pending.slot = aggregate->slot();
    Program *program = this->context.programs.find(programId, this->context.now());
    if (program == nullptr && !this->context.slots.isComplete(aggregate->slot()))
        throw LacewingmuxError(ErrorKind::StateLost, QStringLiteral("the program's state was lost"),
                               Executed::Unknown);
    if (program == nullptr)
        throw LacewingmuxError(ErrorKind::UnknownProgram,
                               QStringLiteral("there is no such program, or it ended long ago"),
                               executed);
    if (!pending.request.byOperator && program->opening().team != pending.request.team)
        throw LacewingmuxError(ErrorKind::NotPermitted,
                               QStringLiteral("the program is another team's"));
    return *program;
}

void ProgramOwner::sendHistory(OwnerRequestHandle handle, const QString &programId)
{
    const Program *program = this->context.programs.find(programId, this->context.now());
    if (program == nullptr) {
        this->context.requests.fail(
                handle, LacewingmuxError(ErrorKind::UnknownProgram, QStringLiteral("it has gone")));
        return;
    }
    const QJsonObject history = historyDocument(*program, program->agentOf(programId).value_or(0));
    this->context.requests.respond(
            handle, statusOk,
            {{QByteArrayLiteral("Content-Type"), QByteArrayLiteral("application/json")}},
            QJsonDocument(history).toJson(QJsonDocument::Compact));
}

void ProgramOwner::callerGone(OwnerRequestHandle request)
{
    PendingRequest *pending = this->context.requests.find(request);
    if (pending == nullptr)
        return;
    const bool isCall = pending->request.operation == OwnerOperation::Call;
    if (isCall && pending->stage != RequestStage::Running)
        pending->sink = {};
    else
        this->context.requests.drop(request);
    this->oneShots.cancel(request, ErrorKind::CallerGone);
}

void ProgramOwner::withdrawKey(const QString &keyId)
{
    this->calls.withdrawKey(keyId);
    this->keyedRequests.withdrawKey(keyId);
    const auto affected = this->context.requests.select(
            [&keyId](const PendingRequest &pending) { return pending.request.keyId == keyId; });
    for (const OwnerRequestHandle handle : affected) {
        this->oneShots.cancel(handle, ErrorKind::KeyWithdrawn);
        PendingRequest *pending = this->context.requests.find(handle);
        if (pending == nullptr)
            continue;
        const QString text = QStringLiteral("the key was withdrawn");
        pending->withdrawn = true;
        if (pending->stage == RequestStage::Queued)
            this->calls.refuse(handle, LacewingmuxError(ErrorKind::KeyWithdrawn, text));
        else if (pending->headersSent)
            this->context.requests.fail(
                    handle, LacewingmuxError(ErrorKind::KeyWithdrawn, text, Executed::Unknown));
        else
            this->context.requests.startTimeout(handle, responseGracePeriod);
    }
}

void ProgramOwner::handleTimeout(OwnerRequestHandle handle)
{
    PendingRequest *pending = this->context.requests.find(handle);
    if (pending == nullptr)
        return;
    const RequestStage stage = pending->stage;
    if (pending->withdrawn) {
        this->context.requests.fail(handle,
                                    LacewingmuxError(ErrorKind::KeyWithdrawn,
                                                     QStringLiteral("the key was withdrawn"),
                                                     Executed::Unknown));
    } else if (stage == RequestStage::Queued) {
        this->context.requests.startTimeout(handle, responseGracePeriod);
        this->calls.refuse(handle,
                           LacewingmuxError(ErrorKind::CallOutOfOrder,
                                            QStringLiteral("an earlier call did not finish")));
    } else if (stage == RequestStage::Running) {
        this->context.requests.fail(
                handle, LacewingmuxError(ErrorKind::BackendTimeout,
                                         QStringLiteral("the call has not finished in time"),
                                         Executed::Unknown));
        this->oneShots.cancel(handle, ErrorKind::BackendTimeout);
    } else {
        this->context.requests.fail(
                handle, LacewingmuxError(ErrorKind::OwnerUnavailable,
                                         QStringLiteral("the journal did not commit in time"),
                                         Executed::Unknown));
    }
}

void ProgramOwner::activateSlot(const std::vector<AggregateRecord> &records)
{
    for (const AggregateRecord &record : records) {
        try {
            if (record.id.kind() == AggregateKind::RequestClaim) {
                this->keyedRequests.restore(record);
            } else if (record.id.kind() == AggregateKind::Program) {
                Program &program = this->context.programs.restore(record, EventTime());
                this->calls.resume(program);
                this->lifecycle.resume(program);
            }
        } catch (const LacewingmuxError &error) {
            LogEvent(LogSeverity::Error, "aggregateDamaged")
                    .field("aggregate", record.id.toString())
                    .field("reason", error.message());
        }
    }
}

void ProgramOwner::deactivateSlot(SlotIndex slot)
{
    this->calls.deactivateSlot(slot);
    this->keyedRequests.deactivateSlot(slot);
    this->context.programs.clear(slot);
    const auto affected = this->context.requests.select(
            [slot](const PendingRequest &pending) { return pending.slot == slot; });
    for (const OwnerRequestHandle handle : affected)
        this->context.requests.fail(handle,
                                    LacewingmuxError(ErrorKind::OwnerUnavailable,
                                                     QStringLiteral("another VM takes over"),
                                                     Executed::Unknown));
}

} // namespace lacewingmux
