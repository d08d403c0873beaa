#include "lacewingmux_backend/orders/ProgramMemory.h"

#include "lacewingmux_core/time/TimerService.h"

#include <utility>

namespace lacewingmux {

ProgramMemory::ProgramMemory(ConnectionPool &connectionPool, TimerService &timerService,
                             std::mt19937_64 &randomSource, VmIncarnation self,
                             std::function<void(const QString &program)> releasedHandler)
    : timers(timerService)
    , engines(connectionPool, timerService)
    , orderLease(std::move(self))
    , releases(
              timerService, randomSource,
              [this](const QString &replica, EngineOrderKind kind, const QString &program,
                     std::function<void(OrderOutcome)> callback) {
                  this->sendOrder(replica, kind, program, std::move(callback));
              },
              std::move(releasedHandler))
{ }

void ProgramMemory::adoptReplicas(std::shared_ptr<const ReplicaSet> replicaSet)
{
    const auto before = std::exchange(this->replicas, std::move(replicaSet));
    for (const ReplicaSnapshot &replica : before->replicas()) {
        if (!this->replicas->find(replica.record.name))
            this->releases.replicaCleared(replica.record.name);
    }
}

void ProgramMemory::replicaRestarted(const QString &replica)
{
    this->releases.replicaCleared(replica);
}

void ProgramMemory::called(const QString &program, const QString &team, const QString &route)
{
    this->pauses.called(program, team, route, this->timers.now());
}

void ProgramMemory::mayHold(const QString &program, const QString &replica)
{
    this->releases.mayHold(program, replica);
}

void ProgramMemory::prepare(const QString &program, const ReplicaRecord &replica,
                            std::function<void()> callback)
{
    const std::optional<QByteArray> exported = this->pauses.takeExport(program);
    if (!exported) {
        callback();
        return;
    }
    this->releases.mayHold(program, replica.name);
    // A failed import costs only the computing of the prefix.
    this->engines.importCache(replica.url, *exported,
                              [callback = std::move(callback)](bool) { callback(); });
}

bool ProgramMemory::paused(const QString &program, const QString &replica,
                           std::int64_t prefixTokens)
{
    const ReplicaSnapshot *holder = this->replicas->find(replica);
    const double pressure = holder && holder->load ? holder->load->load.memoryPressure() : 0;
    const RetentionAction action = this->pauses.paused(program, prefixTokens, pressure,
                                                       holder != nullptr, this->timers.now());
    if (!holder || action == RetentionAction::Keep)
        return true;
    if (action == RetentionAction::Export)
        this->exportThenDrop(program, holder->record);
    else
        this->releases.drop(program);
    return false;
}

void ProgramMemory::ended(const QString &program)
{
    this->pauses.ended(program);
    this->releases.end(program, this->allEngines());
}

void ProgramMemory::sendOrder(const QString &replica, EngineOrderKind kind, const QString &program,
                              std::function<void(OrderOutcome)> callback)
{
    const ReplicaSnapshot *target = this->replicas->find(replica);
    const bool allowed =
            target && this->orderLease.mayIssue(target->record.checksFencing, this->timers.now());
    if (!allowed) {
        callback(OrderOutcome::Unknown);
        return;
    }
    this->engines.order(target->record.url, {kind, program, this->orderLease.fencing()},
                        std::move(callback));
}

void ProgramMemory::exportThenDrop(const QString &program, const ReplicaRecord &replica)
{
    this->engines.exportCache(replica.url, program,
                              [this, program](const std::optional<QByteArray> &exported) {
                                  if (exported && this->pauses.keepExport(program, *exported))
                                      this->releases.drop(program);
                              });
}

std::vector<QString> ProgramMemory::allEngines() const
{
    std::vector<QString> names;
    for (const ReplicaSnapshot &replica : this->replicas->replicas()) {
        if (replica.record.kind == RouteKind::ModelEngine)
            names.push_back(replica.record.name);
    }
    return names;
}

} // namespace lacewingmux
