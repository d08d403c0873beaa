#include "lacewingmux_gateway/replicas/Placement.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lacewingmux {

namespace {

constexpr double paceWeight = 0.3;   // of a new measurement of a replica's pace
constexpr double slowestPace = 20.0; // a replica that hangs counts as this slow
constexpr double fastestPace = 0.25;
constexpr int mostDoublings = 2; // of the pause before a replica is tried again

double decay(TimerService::SteadyTime now, TimerService::SteadyTime since,
             std::chrono::milliseconds memory)
{
    const std::chrono::duration<double, std::milli> age = now - since;
    return std::exp(-std::max(0.0, age.count()) / static_cast<double>(memory.count()));
}

} // namespace

Placement::Placement(QByteArray zoneOfThisVm, const PlacementSettings &placementSettings)
    : ownZone(std::move(zoneOfThisVm))
    , settings(placementSettings)
    , prompts(static_cast<std::size_t>(placementSettings.rememberedParts))
{ }

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
                replica.own = known->own;
                this->prompts.forget(instance.id);
            }
        }
        replica.instance = instance;
        kept.insert(instance.id, replica);
        if (!instance.draining && !replica.replaced)
            this->byService[instance.service].push_back(instance.id);
    }
    for (auto old = this->replicas.cbegin(); old != this->replicas.cend(); ++old) {
        if (kept.contains(old.key()))
            continue;
        this->prompts.forget(old.key());
    }
    this->replicas = std::move(kept);
}

std::optional<QByteArray> Placement::choose(const PlacementRequest &request) const
{
    const auto candidates = this->byService.constFind(request.service);
    if (candidates == this->byService.cend())
        return std::nullopt;
    std::optional<QByteArray> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const QByteArray &id : *candidates) {
        const Replica &replica = *this->replicas.constFind(id);
        if (!this->isAllowed(replica, request))
            continue;
        const double candidateCost = this->cost(replica, request);
        if (candidateCost < bestCost) {
            bestCost = candidateCost;
            best = id;
        }
    }
    return best;
}

void Placement::started(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    ++replica->own;
    if (replica->unreachableInRow > 0)
        replica->unreachableUntil = now + this->settings.unreachablePause;
}

void Placement::noteReached(const QByteArray &instance)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr || replica->unreachableInRow == 0)
        return;
    replica->unreachableInRow = 0;
    replica->unreachableUntil = {};
}

void Placement::ended(const QByteArray &instance)
{
    Replica *replica = this->find(instance);
    if (replica != nullptr && replica->own > 0)
        --replica->own;
}

void Placement::notePace(const QByteArray &instance, double ratio, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    const double measured = std::clamp(ratio, fastestPace, slowestPace);
    replica->pace = (1.0 - paceWeight) * this->paceEstimate(*replica, now) + paceWeight * measured;
    replica->paceKnown = now;
}

void Placement::noteLoad(const QByteArray &instance, const ReplicaLoadReport &load, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    replica->others = std::max(0, load.running + load.waiting - replica->own);
    replica->othersKnown = now;
    if (load.slots > 0)
        replica->instance.slots = load.slots;
}

void Placement::noteRejection(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    this->decayTrouble(*replica, now);
    replica->rejections += 1.0;
}

void Placement::noteFailure(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    this->decayTrouble(*replica, now);
    replica->failures += 1.0;
}

void Placement::noteUnreachable(const QByteArray &instance, SteadyTime now)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    replica->unreachableInRow = std::min(replica->unreachableInRow + 1, mostDoublings + 1);
    replica->unreachableUntil =
            now + this->settings.unreachablePause * (1 << (replica->unreachableInRow - 1));
}

void Placement::noteReplaced(const QByteArray &instance)
{
    Replica *replica = this->find(instance);
    if (replica == nullptr)
        return;
    replica->replaced = true;
    std::vector<QByteArray> &serving = this->byService[replica->instance.service];
    serving.erase(std::remove(serving.begin(), serving.end(), instance), serving.end());
}

void Placement::notePrompt(const QByteArray &instance, const std::vector<PromptPart> &parts)
{
    if (this->replicas.contains(instance))
        this->prompts.note(instance, parts);
}

Placement::Replica *Placement::find(const QByteArray &instance)
{
    const auto found = this->replicas.find(instance);
    return found == this->replicas.end() ? nullptr : &*found;
}

bool Placement::isAllowed(const Replica &replica, const PlacementRequest &request) const
{
    return std::find(request.avoided.begin(), request.avoided.end(), replica.instance.id)
           == request.avoided.end();
}

double Placement::cost(const Replica &replica, const PlacementRequest &request) const
{
    double total = request.forEngine ? this->engineCost(replica, request)
                                     : this->callCost(replica, request);
    if (replica.instance.zone != this->ownZone)
        total += this->settings.otherZoneCost;
    const double memory = decay(request.now, replica.troubleKnown, this->settings.troubleMemory);
    total += memory
             * (replica.failures * this->settings.failureCost
                + replica.rejections * this->settings.rejectionCost);
    // Not excluded: when no replica can be reached, each of them is still worth a try.
    if (request.now < replica.unreachableUntil)
        total += this->settings.typicalTurn * slowestPace;
    return total;
}

double Placement::engineCost(const Replica &replica, const PlacementRequest &request) const
{
    std::int64_t tokens = 0;
    for (const PromptPart &part : request.promptParts)
        tokens += part.tokens;
    const std::int64_t known = this->prompts.knownTokens(replica.instance.id, request.promptParts);
    const double load = this->loadEstimate(replica, request.now);
    const double queued = std::max(0.0, load + 1.0 - replica.instance.slots);
    const double pace = this->paceEstimate(replica, request.now);
    double total = static_cast<double>(tokens - known) / this->settings.promptTokensPerMillisecond;
    total += load * this->settings.costPerSequence;
    total += pace * this->settings.typicalTurn * (1.0 + queued / replica.instance.slots);
    if (!request.promptParts.empty()) {
        const QByteArray subject = QByteArray::number(request.promptParts.front().id, 16);
        total += this->agreement(replica, subject) * this->settings.agreementBias;
    }
    return total;
}

double Placement::callCost(const Replica &replica, const PlacementRequest &request) const
{
    const double load = this->loadEstimate(replica, request.now);
    const double slots = replica.instance.slots;
    const double queued = std::max(0.0, load + 1.0 - slots);
    double call = this->settings.typicalCall * this->paceEstimate(replica, request.now);
    if (replica.instance.warmUpRemaining.count() > 0)
        call *= this->settings.coldFactor;
    // Even before a queue builds up, room is better spread: the VMs' reports lag.
    double total = call * (1.0 + queued / slots + 0.5 * load / slots);
    if (!request.affinityKey.isEmpty())
        total += this->agreement(replica, request.affinityKey) * call * this->settings.warmSaving;
    return total;
}

double Placement::loadEstimate(const Replica &replica, SteadyTime now) const
{
    return replica.own
           + replica.others * decay(now, replica.othersKnown, this->settings.loadMemory);
}

double Placement::paceEstimate(const Replica &replica, SteadyTime now) const
{
    const double memory = decay(now, replica.paceKnown, this->settings.paceMemory);
    return 1.0 + (replica.pace - 1.0) * memory;
}

double Placement::agreement(const Replica &replica, const QByteArray &subject) const
{
    const std::uint64_t hash = combineHashes(stableHash(subject), stableHash(replica.instance.id));
    return static_cast<double>(hash)
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void Placement::decayTrouble(Replica &replica, SteadyTime now) const
{
    const double memory = decay(now, replica.troubleKnown, this->settings.troubleMemory);
    replica.failures *= memory;
    replica.rejections *= memory;
    replica.troubleKnown = now;
}

} // namespace lacewingmux
