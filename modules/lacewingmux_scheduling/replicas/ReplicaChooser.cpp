#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

/** Load, as a fraction of the capacity, up to which replicas accept calls from a VM below its
    equal share. */
constexpr double overcommitLimit = 1.5;

} // namespace

ReplicaChooser::ReplicaChooser(const ReplicaChooserSettings &chooserSettings)
    : settings(chooserSettings)
{ }

void ReplicaChooser::setReplica(const ReplicaDescriptor &descriptor)
{
    const auto [found, added] = this->replicas.try_emplace(descriptor.name);
    Replica &replica = found->second;
    if (added)
        replica.insertionNumber = ++this->replicasAdded;
    else if (replica.state == ReplicaState::Serving)
        this->removeFromServing(replica);
    replica.descriptor = descriptor;
    replica.descriptor.capacity = std::max(1, descriptor.capacity);
    if (replica.state == ReplicaState::Serving)
        this->addToServing(replica);
}

void ReplicaChooser::removeReplica(const QString &name)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end())
        return;
    if (found->second.state == ReplicaState::Serving)
        this->removeFromServing(found->second);
    this->ownSequences -= found->second.load.ownSequences();
    this->replicas.erase(found);
}

void ReplicaChooser::setState(const QString &name, ReplicaState state)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end() || found->second.state == state)
        return;
    if (found->second.state == ReplicaState::Serving)
        this->removeFromServing(found->second);
    found->second.state = state;
    if (state == ReplicaState::Serving)
        this->addToServing(found->second);
}

void ReplicaChooser::reportLoad(const QString &name, const LoadReport &report)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end())
        return;
    found->second.load.report(report);
    this->updateLoadOrder(found->second);
}

void ReplicaChooser::started(const QString &name, SteadyTime now, bool suspect)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end())
        return;
    found->second.load.started(now);
    ++this->ownSequences;
    found->second.suspects += suspect ? 1 : 0;
    this->updateLoadOrder(found->second);
}

void ReplicaChooser::finished(const QString &name, SteadyTime now, bool suspect)
{
    const auto found = this->replicas.find(name);
    if (found == this->replicas.end())
        return;
    this->ownSequences -= found->second.load.ownSequences() > 0 ? 1 : 0;
    found->second.load.finished(now);
    if (suspect)
        found->second.suspects = std::max(0, found->second.suspects - 1);
    this->updateLoadOrder(found->second);
}

std::optional<ReplicaChoice> ReplicaChooser::choose(const ChoiceRequest &request,
                                                    std::mt19937_64 &random) const
{
    const Replica *best = this->prefixHolder(request);
    const auto consider = [this, &best, &request](const Replica *candidate) {
        if (candidate && (!best || this->cost(request, *candidate) < this->cost(request, *best)))
            best = candidate;
    };
    if (this->settings.twoChoices) {
        consider(this->randomCandidate(request, random));
        consider(this->randomCandidate(request, random));
    }
    if (!best || !this->settings.twoChoices)
        consider(this->leastLoaded(request));
    if (!best)
        return std::nullopt;
    ReplicaChoice choice{best->descriptor.name, 0};
    if (request.prefix && request.prefix->replica == choice.replica)
        choice.expectedCachedTokens = std::min(request.prefix->tokens, request.prefixTokens);
    return choice;
}

void ReplicaChooser::setSendingVms(int vms)
{
    this->sendingVms = std::max(1, vms);
}

int ReplicaChooser::estimatedSequences(const QString &name) const
{
    const auto found = this->replicas.find(name);
    return found == this->replicas.end() ? 0 : found->second.load.estimate();
}

double ReplicaChooser::loadLimit() const
{
    const bool belowEqualShare = this->ownSequences * this->sendingVms < this->servingCapacity;
    return this->settings.guaranteedShare && belowEqualShare && this->sendingVms > 1
                   ? overcommitLimit
                   : 1;
}

double ReplicaChooser::loadFractionOf(const Replica &replica) const
{
    const int sequences =
            this->settings.correctReports ? replica.load.estimate() : replica.load.reported();
    return static_cast<double>(sequences) / replica.descriptor.capacity;
}

bool ReplicaChooser::isEligible(const ChoiceRequest &request, const Replica &replica) const
{
    WorkCounter::note();
    if (replica.state != ReplicaState::Serving || replica.loadFraction >= this->loadLimit())
        return false;
    if (request.suspect && replica.suspects > 0)
        return false;
    return std::find(request.excluded.begin(), request.excluded.end(), replica.descriptor.name)
           == request.excluded.end();
}

const ReplicaChooser::Replica *ReplicaChooser::prefixHolder(const ChoiceRequest &request) const
{
    if (!this->settings.prefixAffinity || !request.prefix)
        return nullptr;
    const auto found = this->replicas.find(request.prefix->replica);
    if (found == this->replicas.end() || !this->isEligible(request, found->second))
        return nullptr;
    const double bound = this->meanLoadFraction() + this->settings.affinityLoadMargin;
    return found->second.loadFraction <= bound ? &found->second : nullptr;
}

const ReplicaChooser::Replica *ReplicaChooser::randomCandidate(const ChoiceRequest &request,
                                                               std::mt19937_64 &random) const
{
    if (this->serving.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> index(0, this->serving.size() - 1);
    const Replica *replica = this->serving[index(random)];
    return this->isEligible(request, *replica) ? replica : nullptr;
}

const ReplicaChooser::Replica *ReplicaChooser::leastLoaded(const ChoiceRequest &request) const
{
    // The loop skips only excluded replicas and those that run a suspect, so it is short.
    for (const LoadKey &key : this->byLoad) {
        if (key.fraction >= this->loadLimit())
            return nullptr;
        if (this->isEligible(request, *key.replica))
            return key.replica;
    }
    return nullptr;
}

double ReplicaChooser::cost(const ChoiceRequest &request, const Replica &replica) const
{
    double cached = 0;
    if (this->settings.prefixAffinity && request.prefix
        && request.prefix->replica == replica.descriptor.name)
        cached = request.prefix->confidence
                 * static_cast<double>(std::min(request.prefix->tokens, request.prefixTokens));
    return static_cast<double>(request.prefixTokens) - cached
           + replica.loadFraction * static_cast<double>(this->settings.fullLoadPenaltyTokens);
}

double ReplicaChooser::meanLoadFraction() const
{
    return this->serving.empty()
                   ? 0
                   : this->loadFractionSum / static_cast<double>(this->serving.size());
}

void ReplicaChooser::addToServing(Replica &replica)
{
    replica.loadFraction = this->loadFractionOf(replica);
    replica.servingIndex = this->serving.size();
    this->serving.push_back(&replica);
    replica.loadPosition =
            this->byLoad.insert({replica.loadFraction, replica.insertionNumber, &replica}).first;
    this->loadFractionSum += replica.loadFraction;
    this->servingCapacity += replica.descriptor.capacity;
}

void ReplicaChooser::removeFromServing(Replica &replica)
{
    this->byLoad.erase(replica.loadPosition);
    this->loadFractionSum -= replica.loadFraction;
    this->servingCapacity -= replica.descriptor.capacity;
    this->serving.back()->servingIndex = replica.servingIndex;
    std::swap(this->serving[replica.servingIndex], this->serving.back());
    this->serving.pop_back();
}

void ReplicaChooser::updateLoadOrder(Replica &replica)
{
    if (replica.state != ReplicaState::Serving)
        return;
    const double fraction = this->loadFractionOf(replica);
    if (fraction == replica.loadFraction)
        return;
    auto node = this->byLoad.extract(replica.loadPosition);
    node.value().fraction = fraction;
    replica.loadPosition = this->byLoad.insert(std::move(node)).position;
    this->loadFractionSum += fraction - replica.loadFraction;
    replica.loadFraction = fraction;
}

} // namespace lacewingmux
