#include "lacewingmux_gateway/replicas/Placement.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lacewingmux {

namespace {

constexpr double slowdownWeight = 0.3;   // weight of a new measurement in the average
constexpr double maximumSlowdown = 20.0; // assumed for a replica that hangs
constexpr double minimumSlowdown = 0.25;
constexpr int maximumBackoffDoublings = 2; // of the delay before a replica is retried

double decayFactor(TimerService::SteadyTime now, TimerService::SteadyTime since,
                   std::chrono::milliseconds timeConstant)
{
    const std::chrono::duration<double, std::milli> age = now - since;
    return std::exp(-std::max(0.0, age.count()) / static_cast<double>(timeConstant.count()));
}

} // namespace

Placement::Placement(QByteArray zoneOfThisVm, const PlacementSettings &placementSettings)
    : ownZone(std::move(zoneOfThisVm))
    , settings(placementSettings)
    , promptCaches(static_cast<std::size_t>(placementSettings.maximumPromptParts))
{
    if (!this->settings.features.has(Feature::VmPreference))
        this->settings.vmBias = 0;
}

void Placement::setReplicas(const std::vector<ReplicaInstance> &instances)
{
    QHash<QByteArray, Replica> kept;
    this->byService.clear();
    for (const ReplicaInstance &instance : instances) {
        Replica replica;
        const auto known = this->replicas.constFind(instance.id);
        if (known != this->replicas.cend()) {
            replica = *known;
            if (known->instance.startMilliseconds != instance.startMilliseconds) {
                replica = {};
                replica.ownCalls = known->ownCalls;
                this->promptCaches.removeInstance(instance.id);
                this->forgetPace(*known);
            }
        }
        replica.instance = instance;
        replica.hash = stableHash(instance.id);
        kept.insert(instance.id, replica);
        if (!instance.draining && !replica.replaced)
            this->byService[instance.service].push_back(instance.id);
    }
    for (auto old = this->replicas.cbegin(); old != this->replicas.cend(); ++old) {
        if (kept.contains(old.key()))
            continue;
        this->promptCaches.removeInstance(old.key());
        this->forgetPace(*old);
    }
    this->replicas = std::move(kept);
}

void Placement::setEvacuatedZones(std::set<QByteArray> zones, SteadyTime now)
{
    this->cold.setEvacuatedZones(zones, now);
    this->evacuations.set(std::move(zones), now);
}

bool Placement::isEvacuated(const QByteArray &service) const
{
    const auto serving = this->byService.constFind(service);
    return serving != this->byService.cend() && !serving->empty()
           && std::all_of(serving->begin(), serving->end(), [this](const QByteArray &id) {
                  return this->evacuations.contains(this->replicas.constFind(id)->instance.zone);
              });
}

std::optional<QByteArray> Placement::choose(const PlacementRequest &request) const
{
    const auto candidates = this->byService.constFind(request.service);
    if (candidates == this->byService.cend())
        return std::nullopt;
    const std::optional<QByteArray> best = this->cheapest(*candidates, request, false);
    return best ? best : this->cheapest(*candidates, request, true);
}

std::optional<QByteArray> Placement::cheapest(const std::vector<QByteArray> &candidates,
                                              const PlacementRequest &request, bool leaving) const
{
    std::optional<QByteArray> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const QByteArray &id : candidates) {
        const Replica &replica = *this->replicas.constFind(id);
        const auto leavingSince =
                this->leavingReplicas.leavingSince(id, replica.instance.startMilliseconds);
        const bool drained =
                leavingSince && request.now - *leavingSince >= this->settings.drainLimit;
        if (leavingSince.has_value() != leaving || drained || !this->isAllowed(replica, request))
            continue;
        if (!request.ignoresReachedLimits && this->isAtLimit(id, request.now))
            continue;
        const double candidateCost = this->cost(replica, request);
        if (candidateCost < bestCost) {
            bestCost = candidateCost;
            best = id;
        }
    }
    return best;
}

void Placement::recordTurn(const std::vector<PromptPart> &parts, SteadyTime now)
{
    if (!parts.empty())
        this->popularity.record(parts.front().id, now);
}

void Placement::callStarted(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    ++replica->ownCalls;
    if (replica->consecutiveUnreachable > 0)
        replica->unreachableUntil = now + this->settings.unreachableBackoff;
}

void Placement::recordReachable(const QByteArray &instance)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr || replica->consecutiveUnreachable == 0)
        return;
    replica->consecutiveUnreachable = 0;
    replica->unreachableUntil = {};
}

void Placement::recordReachablePath(const QByteArray &instance, bool throughTunnel)
{
    this->recordReachable(instance);
    if (Replica *replica = this->find(instance))
        replica->tunnelled = throughTunnel;
}

void Placement::callEnded(const QByteArray &instance)
{
    Replica *replica = this->find(instance);
    if (replica != nullptr && replica->ownCalls > 0)
        --replica->ownCalls;
}

bool Placement::hasOwnCalls(const QByteArray &instance) const
{
    const auto found = this->replicas.constFind(instance);
    return found != this->replicas.cend() && found->ownCalls > 0;
}

void Placement::recordSlowdown(const QByteArray &instance, double ratio, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    const double measured = std::clamp(ratio, minimumSlowdown, maximumSlowdown);
    replica->slowdown = (1.0 - slowdownWeight) * this->slowdownEstimate(*replica, now)
                        + slowdownWeight * measured;
    replica->slowdownUpdated = now;
}

void Placement::recordLoad(const QByteArray &instance, std::int64_t startMilliseconds,
                           const ReplicaLoadReport &load, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    const int otherCalls = std::max(0, load.running + load.waiting - replica->ownCalls);
    const bool isSameStart = replica->instance.startMilliseconds == startMilliseconds;
    if (load.pace && isSameStart)
        this->paces[replica->instance.service].recordReport(instance, startMilliseconds, *load.pace,
                                                            now);
    if (isSameStart && this->paceOfService(*replica) != nullptr)
        this->recordOtherCalls(*replica, otherCalls, now);
    replica->otherCalls = otherCalls;
    replica->otherCallsUpdated = now;
    replica->lastReport = load;
    replica->lastReported = now;
    if (load.slots > 0)
        replica->instance.slots = load.slots;
}

void Placement::recordRejection(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    this->decayErrors(*replica, now);
    replica->rejections += 1.0;
}

void Placement::recordFailure(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    this->decayErrors(*replica, now);
    replica->failures += 1.0;
}

void Placement::recordUnreachable(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    this->cold.recordUnreachable(instance, now);
    replica->consecutiveUnreachable =
            std::min(replica->consecutiveUnreachable + 1, maximumBackoffDoublings + 1);
    replica->unreachableUntil =
            now + this->settings.unreachableBackoff * (1 << (replica->consecutiveUnreachable - 1));
}

void Placement::markReplaced(const QByteArray &instance)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    replica->replaced = true;
    std::vector<QByteArray> &serving = this->byService[replica->instance.service];
    serving.erase(std::remove(serving.begin(), serving.end(), instance), serving.end());
}

bool Placement::recordLeaving(const QByteArray &instance, std::int64_t startMilliseconds,
                              SteadyTime now)
{
    return this->leavingReplicas.record(instance, startMilliseconds, now);
}

bool Placement::isLeaving(const ReplicaInstance &instance) const
{
    return this->leavingReplicas.leavingSince(instance.id, instance.startMilliseconds).has_value();
}

bool Placement::recordLimit(const QByteArray &instance, std::int64_t startMilliseconds,
                            std::optional<double> requestsPerSecond, SteadyTime now)
{
    return this->limits.record(instance, startMilliseconds, requestsPerSecond, now);
}

std::optional<double> Placement::limit(const ReplicaInstance &instance) const
{
    return this->limits.limit(instance.id, instance.startMilliseconds);
}

void Placement::recordLimitReached(const ReplicaInstance &instance, SteadyTime now,
                                   SteadyTime until)
{
    this->limits.recordReached(instance.id, instance.startMilliseconds, now, until);
}

bool Placement::hasReachedLimits(const QByteArray &service, SteadyTime now) const
{
    const auto candidates = this->byService.constFind(service);
    return candidates != this->byService.cend()
           && std::any_of(candidates->begin(), candidates->end(),
                          [this, now](const QByteArray &id) {
                              const QByteArray &zone = this->replicas.constFind(id)->instance.zone;
                              return !this->evacuations.contains(zone) && this->isAtLimit(id, now);
                          });
}

ServiceLoad Placement::loadSummary(const QByteArray &service, SteadyTime now) const
{
    ServiceLoad summary;
    const auto candidates = this->byService.constFind(service);
    if (candidates == this->byService.cend())
        return summary;
    for (const QByteArray &id : *candidates) {
        const Replica &replica = *this->replicas.constFind(id);
        const std::optional<ReplicaLoadReport> &report = replica.lastReport;
        summary.reportsPace = summary.reportsPace || (report && report->pace);
        if (now < replica.unreachableUntil || this->isLeaving(replica.instance)
            || this->isAtLimit(id, now) || this->evacuations.contains(replica.instance.zone))
            continue;
        if (report)
            summary.reports.push_back(
                    {report->running, report->waiting, report->slots,
                     std::chrono::floor<std::chrono::milliseconds>(now - replica.lastReported)});
        else
            ++summary.unreportedReplicas;
    }
    return summary;
}

void Placement::recordPrompt(const QByteArray &instance, const std::vector<PromptPart> &parts)
{
    if (this->replicas.contains(instance))
        this->promptCaches.recordPrompt(instance, parts);
}

Placement::Replica *Placement::find(const QByteArray &instance)
{
    const auto found = this->replicas.find(instance);
    return found == this->replicas.end() ? nullptr : &*found;
}

bool Placement::isAtLimit(const QByteArray &instance, SteadyTime now) const
{
    const ReplicaInstance &known = this->replicas.constFind(instance)->instance;
    // A replica that has no limit any more takes calls at once.
    return this->limits.isReached(instance, known.startMilliseconds, now)
           && (this->limit(known) || this->cold.limit(instance, now));
}

bool Placement::isAllowed(const Replica &replica, const PlacementRequest &request) const
{
    if (this->evacuations.contains(replica.instance.zone))
        return false;
    return std::find(request.excludedInstances.begin(), request.excludedInstances.end(),
                     replica.instance.id)
           == request.excludedInstances.end();
}

double Placement::cost(const Replica &replica, const PlacementRequest &request) const
{
    double total = request.forEngine ? this->engineCost(replica, request)
                                     : this->callCost(replica, request);
    if (replica.instance.zone != this->ownZone)
        total += this->settings.crossZoneCost;
    if (replica.tunnelled)
        total += this->settings.tunnelCost;
    const double weight =
            decayFactor(request.now, replica.errorsUpdated, this->settings.errorDecayTime);
    total += weight
             * (replica.failures * this->settings.failureCost
                + replica.rejections * this->settings.rejectionCost);
    // Penalised but not excluded: when all replicas are unreachable, one of them is still tried.
    if (request.now < replica.unreachableUntil)
        total += this->settings.typicalTurn * maximumSlowdown;
    return total;
}

double Placement::engineCost(const Replica &replica, const PlacementRequest &request) const
{
    if (const ReplicaPace *pace = this->paceOfService(replica))
        return this->pacedEngineCost(replica, request, *pace);
    const bool shares = this->isSharer(replica, request.promptParts);
    const double load = this->loadEstimate(replica, request.now);
    const double queued = std::max(0.0, load + 1.0 - replica.instance.slots);
    const double slowdown = this->slowdownEstimate(replica, request.now);
    double total = this->uncachedTokens(replica, request.promptParts)
                   / this->settings.promptTokensPerMillisecond;
    total += load * this->settings.costPerSequence;
    total += slowdown * this->settings.typicalTurn * (1.0 + queued / replica.instance.slots);
    // Even a prompt that is new to this VM goes to the replicas that will share it.
    if (!shares)
        total += this->settings.vmBias;
    return total + rendezvousRank(replica, this->settings.vmSeed) * this->settings.vmBias;
}

double Placement::callCost(const Replica &replica, const PlacementRequest &request) const
{
    if (const ReplicaPace *pace = this->paceOfService(replica))
        return this->pacedCallCost(replica, request, *pace);
    const double load = this->loadEstimate(replica, request.now);
    const double slots = replica.instance.slots;
    const double queued = std::max(0.0, load + 1.0 - slots);
    double call = this->settings.typicalCall * this->slowdownEstimate(replica, request.now);
    if (replica.instance.warmUpRemaining.count() > 0)
        call *= this->settings.warmUpFactor;
    // Penalises load before a queue forms, because the load reports lag behind.
    double total = call * (1.0 + queued / slots + 0.5 * load / slots);
    if (!request.affinityKey.isEmpty())
        total += rendezvousRank(replica, stableHash(request.affinityKey)) * call
                 * this->settings.affinitySaving;
    return total;
}

double Placement::loadEstimate(const Replica &replica, SteadyTime now) const
{
    return replica.ownCalls
           + replica.otherCalls
                     * decayFactor(now, replica.otherCallsUpdated, this->settings.loadDecayTime);
}

double Placement::slowdownEstimate(const Replica &replica, SteadyTime now) const
{
    const double weight =
            decayFactor(now, replica.slowdownUpdated, this->settings.slowdownDecayTime);
    return 1.0 + (replica.slowdown - 1.0) * weight;
}

double Placement::uncachedTokens(const Replica &replica, const std::vector<PromptPart> &parts) const
{
    std::int64_t tokens = 0;
    for (const PromptPart &part : parts)
        tokens += part.tokens;
    auto known = static_cast<double>(this->promptCaches.cachedTokens(replica.instance.id, parts));
    if (this->isSharer(replica, parts))
        known = std::max(known, this->assumedCachedTokens(parts.front()));
    return static_cast<double>(tokens) - known;
}

bool Placement::isSharer(const Replica &replica, const std::vector<PromptPart> &parts) const
{
    if (parts.empty() || !this->settings.features.has(Feature::PromptSharing))
        return false;
    const PromptPart &part = parts.front();
    const auto replicaCount = static_cast<double>(this->replicaCountOf(replica.instance.service));
    const double sharers =
            std::max(this->settings.promptSpread * this->popularity.fraction(part.id),
                     this->settings.minimumSharers / std::max(1.0, replicaCount));
    return rendezvousRank(replica, part.id) >= 1.0 - sharers;
}

double Placement::assumedCachedTokens(const PromptPart &part) const
{
    const double turns = this->popularity.count(part.id);
    const double confidence = turns / (turns + this->settings.turnsUntilHalfAssumed);
    return this->settings.spreadCachedProbability * confidence * static_cast<double>(part.tokens);
}

std::size_t Placement::replicaCountOf(const QByteArray &service) const
{
    const auto serving = this->byService.constFind(service);
    return serving == this->byService.cend() ? 0 : serving->size();
}

double Placement::rendezvousRank(const Replica &replica, std::uint64_t subjectHash)
{
    const std::uint64_t hash = combineHashes(subjectHash, replica.hash);
    return static_cast<double>(hash)
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void Placement::decayErrors(Replica &replica, SteadyTime now) const
{
    const double weight = decayFactor(now, replica.errorsUpdated, this->settings.errorDecayTime);
    replica.failures *= weight;
    replica.rejections *= weight;
    replica.errorsUpdated = now;
}

} // namespace lacewingmux
