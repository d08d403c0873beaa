#include "lacewingmux_backend/orders/ProgramCacheManager.h"

#include "lacewingmux_core/time/TimerService.h"

#include <utility>

namespace lacewingmux {

ProgramCacheManager::ProgramCacheManager(
        ConnectionPool &connectionPool, TimerService &timerService, std::mt19937_64 &randomSource,
        VmIncarnation self, std::function<void(const QString &program)> releasedHandler)
    : timers(timerService)
    , engineClient(connectionPool, timerService)
    , orderLease(std::move(self))
    , releases(
              timerService, randomSource,
              [this](const QString &replica, EngineOrderKind kind, const QString &program,
                     std::function<void(OrderOutcome)> callback) {
                  this->sendOrder(replica, kind, program, std::move(callback));
              },
              std::move(releasedHandler))
{ }

void ProgramCacheManager::adoptReplicas(std::shared_ptr<const ReplicaSet> replicaSet)
{
    const auto before = std::exchange(this->replicas, std::move(replicaSet));
    for (const ReplicaSnapshot &replica : before->replicas()) {
        if (!this->replicas->find(replica.record.name))
            this->releases.replicaCleared(replica.record.name);
    }
}

void ProgramCacheManager::replicaRestarted(const QString &replica)
{
    this->releases.replicaCleared(replica);
}

void ProgramCacheManager::called(const QString &program, const QString &team, const QString &route)
{
    this->pausedPrefixes.called(program, team, route, this->timers.now());
}

void ProgramCacheManager::recordPrefixHolder(const QString &program, const QString &replica)
{
    this->releases.recordPrefixHolder(program, replica);
}

void ProgramCacheManager::importPrefix(const QString &program, const ReplicaRecord &replica,
                                       std::function<void()> callback)
{
    const std::optional<QByteArray> exported = this->pausedPrefixes.takeExport(program);
    if (!exported) {
        callback();
        return;
    }
    this->releases.recordPrefixHolder(program, replica.name);
    // After a failed import the prefix only has to be recomputed.
    this->engineClient.importCache(replica.url, *exported,
                                   [callback = std::move(callback)](bool) { callback(); });
}

bool ProgramCacheManager::handlePause(const QString &program, const QString &replica,
                                      std::int64_t prefixTokens)
{
    const ReplicaSnapshot *holder = this->replicas->find(replica);
    const double pressure = holder && holder->load ? holder->load->load.memoryPressure() : 0;
    const RetentionAction action = this->pausedPrefixes.paused(
            program, prefixTokens, pressure, holder != nullptr, this->timers.now());
    if (!holder || action == RetentionAction::Keep)
        return true;
    if (action == RetentionAction::Export)
        this->exportThenDrop(program, holder->record);
    else
        this->releases.dropPrefix(program);
    return false;
}

void ProgramCacheManager::ended(const QString &program)
{
    this->pausedPrefixes.ended(program);
    this->releases.endProgram(program, this->allEngines());
}

void ProgramCacheManager::sendOrder(const QString &replica, EngineOrderKind kind,
                                    const QString &program,
                                    std::function<void(OrderOutcome)> callback)
{
    const ReplicaSnapshot *target = this->replicas->find(replica);
    const bool allowed =
            target && this->orderLease.mayIssue(target->record.checksFencing, this->timers.now());
    if (!allowed) {
        callback(OrderOutcome::Unconfirmed);
        return;
    }
    this->engineClient.issueOrder(target->record.url,
                                  {kind, program, this->orderLease.fencingToken()},
                                  std::move(callback));
}

void ProgramCacheManager::exportThenDrop(const QString &program, const ReplicaRecord &replica)
{
    this->engineClient.exportCache(
            replica.url, program, [this, program](const std::optional<QByteArray> &exported) {
                if (exported && this->pausedPrefixes.storeExport(program, *exported))
                    this->releases.dropPrefix(program);
            });
}

std::vector<QString> ProgramCacheManager::allEngines() const
{
    std::vector<QString> names;
    for (const ReplicaSnapshot &replica : this->replicas->replicas()) {
        if (replica.record.kind == RouteKind::ModelEngine)
            names.push_back(replica.record.name);
    }
    return names;
}

} // namespace lacewingmux
