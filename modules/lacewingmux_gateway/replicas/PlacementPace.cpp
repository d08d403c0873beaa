#include "lacewingmux_gateway/replicas/Placement.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

using Milliseconds = ReplicaPace::Milliseconds;

// A front of a large deployment gets a report of each replica every few seconds only. Without a
// memory of that length, the fastest replicas would look idle to every front.
constexpr Milliseconds usualLoadTime{5000};
// Much shorter than a call: with 800 ms, VMs that had seen the same reports sent their calls to the
// same replica, and the mean completion time of the replay rose by up to a fifth.
constexpr Milliseconds reportedLoadTime{60};
constexpr double usualLoadWeight = 0.05;   // least weight of a report in the mean of its replica
constexpr double serviceLoadWeight = 0.03; // weight of a report in the mean of the service

// A queue also delays the calls that follow; without a higher weight than its own wait, calls queue
// at fast replicas while a slow one has free slots.
constexpr double queueWeight = 3.0;
// With 3, the mean load of the busiest of four replicas was 1.33 times the mean of all.
constexpr double loadWeight = 6.0;

double decayFactor(TimerService::SteadyTime now, TimerService::SteadyTime since,
                   Milliseconds timeConstant)
{
    const Milliseconds age = now - since;
    return std::exp(-std::max(0.0, age / timeConstant));
}

} // namespace

void Placement::recordOtherCalls(Replica &replica, int otherCalls, SteadyTime now)
{
    const QByteArray &service = replica.instance.service;
    const double usual = this->usualOtherCalls(replica, now);
    const double kept = decayFactor(now, replica.usualOtherCallsUpdated, usualLoadTime);
    replica.usualOtherCalls = usual + (otherCalls - usual) * std::max(usualLoadWeight, 1.0 - kept);
    replica.usualOtherCallsUpdated = now;
    const auto mean = this->meanOtherCalls.find(service);
    if (mean == this->meanOtherCalls.end())
        this->meanOtherCalls.insert(service, otherCalls);
    else
        *mean += (otherCalls - *mean) * serviceLoadWeight;
}

bool Placement::hasReportedPace(const QByteArray &service) const
{
    const auto known = this->paces.constFind(service);
    return known != this->paces.cend() && known->hasReports();
}

void Placement::forgetPace(const Replica &replica)
{
    const auto known = this->paces.find(replica.instance.service);
    if (known != this->paces.end())
        known->remove(replica.instance.id);
}

void Placement::recordWork(const QByteArray &instance, std::int64_t startMilliseconds,
                           ReplicaWork work, double amount, Milliseconds duration, SteadyTime now)
{
    const Replica *replica = this->find(instance);
    if (replica == nullptr || this->paceOf(*replica) == nullptr)
        return;
    this->paces[replica->instance.service].recordWork(instance, startMilliseconds, work, amount,
                                                      duration, now);
}

std::optional<double> Placement::learnedDuration(const QByteArray &instance, ReplicaWork work,
                                                 SteadyTime now) const
{
    const auto replica = this->replicas.constFind(instance);
    const ReplicaPace *pace = replica == this->replicas.cend() ? nullptr : this->paceOf(*replica);
    return pace == nullptr ? std::nullopt
                           : std::optional(pace->learnedDuration(instance, work, now));
}

std::size_t Placement::learnedReplicas() const
{
    std::size_t count = 0;
    for (const ReplicaPace &pace : this->paces)
        count += pace.learnedReplicas();
    return count;
}

double Placement::uncachedTokens(const QByteArray &instance,
                                 const std::vector<PromptPart> &parts) const
{
    const auto replica = this->replicas.constFind(instance);
    return replica == this->replicas.cend() ? 0 : this->uncachedTokens(*replica, parts);
}

const ReplicaPace *Placement::paceOf(const Replica &replica) const
{
    const auto pace = this->paces.constFind(replica.instance.service);
    if (pace == this->paces.cend()
        || !pace->hasReported(replica.instance.id, replica.instance.startMilliseconds))
        return nullptr;
    return &*pace;
}

const ReplicaPace *Placement::paceOfService(const Replica &replica) const
{
    if (!this->settings.features.has(Feature::ReplicaPace))
        return nullptr;
    const auto pace = this->paces.constFind(replica.instance.service);
    return pace == this->paces.cend() || pace->isEmpty() ? nullptr : &*pace;
}

double Placement::pacedEngineCost(const Replica &replica, const PlacementRequest &request,
                                  const ReplicaPace &pace) const
{
    const QByteArray &id = replica.instance.id;
    const double reading = this->uncachedTokens(replica, request.promptParts)
                           / this->settings.promptTokensPerMillisecond
                           * pace.learnedDuration(id, ReplicaWork::Reading, request.now);
    const double writing = this->settings.typicalTurn
                           * pace.learnedDuration(id, ReplicaWork::Writing, request.now)
                           * this->slowdownEstimate(replica, request.now);
    const double load = this->pacedLoad(replica, request.now);
    double total = reading + writing + this->expectedTurnWait(replica, load, writing);
    total += load * this->settings.costPerSequence;
    // A call that waits for a slot starts after the reported pace has changed.
    if (load + 1.0 <= replica.instance.slots)
        total += pace.momentaryDelay(id, Milliseconds(reading + writing), request.now).count();
    if (!this->isSharer(replica, request.promptParts))
        total += this->settings.vmBias;
    return total + rendezvousRank(replica, this->settings.vmSeed) * this->settings.vmBias;
}

double Placement::pacedCallCost(const Replica &replica, const PlacementRequest &request,
                                const ReplicaPace &pace) const
{
    const QByteArray &id = replica.instance.id;
    double call = this->settings.typicalCall
                  * pace.learnedDuration(id, ReplicaWork::Reading, request.now)
                  * this->slowdownEstimate(replica, request.now);
    if (replica.instance.warmUpRemaining.count() > 0)
        call *= this->settings.warmUpFactor;
    const double load = this->pacedLoad(replica, request.now);
    const double slots = replica.instance.slots;
    const double queued = std::max(0.0, load + 1.0 - slots);
    // The same weights of load as for replicas that report no pace: those of turns would outweigh
    // what a call saves where its object was handled before.
    double total = call * (1.0 + queued / slots + 0.5 * load / slots);
    if (queued == 0.0)
        total += pace.momentaryDelay(id, Milliseconds(call), request.now).count();
    if (!request.affinityKey.isEmpty())
        total += rendezvousRank(replica, stableHash(request.affinityKey)) * call
                 * this->settings.affinitySaving;
    return total;
}

double Placement::expectedTurnWait(const Replica &replica, double load, double turnDuration)
{
    const double slots = replica.instance.slots;
    const double queued = std::max(0.0, load + 1.0 - slots);
    // Other VMs send calls before this VM learns of them, so a replica may be full although its
    // estimated load is below its slots, the more probably the higher that load is.
    const double used = load / slots;
    return turnDuration * (queueWeight * queued / slots + loadWeight * used * used);
}

double Placement::pacedLoad(const Replica &replica, SteadyTime now) const
{
    const double usual = this->usualOtherCalls(replica, now);
    return replica.ownCalls + usual
           + (replica.otherCalls - usual)
                     * decayFactor(now, replica.otherCallsUpdated, reportedLoadTime);
}

double Placement::usualOtherCalls(const Replica &replica, SteadyTime now) const
{
    const double mean = this->meanOtherCalls.value(replica.instance.service);
    return mean
           + (replica.usualOtherCalls - mean)
                     * decayFactor(now, replica.usualOtherCallsUpdated, usualLoadTime);
}

} // namespace lacewingmux
