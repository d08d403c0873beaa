#pragma once

#include "lacewingmux_core/metrics/WorkCounter.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/replicas/LoadReport.h"
#include "lacewingmux_scheduling/replicas/ReplicaChoice.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooserSettings.h"
#include "lacewingmux_scheduling/replicas/ReplicaDescriptor.h"
#include "lacewingmux_scheduling/replicas/ReplicaLoad.h"
#include "lacewingmux_scheduling/replicas/ReplicaState.h"

#include <QHash>
#include <QString>

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

/**
    Decides which replica of one pool runs a call. Every VM has its own chooser and decides
    independently.

    The replica that holds the program's prefix is compared with two replicas drawn at random; the
    lowest cost wins, which is the number of tokens to compute plus a load penalty. The holder is a
    candidate only while its load is at most the pool's mean plus a margin. Drawing two replicas at
    random instead of taking the least loaded one keeps VMs with the same out-of-date reports from
    overloading a single replica (Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001). When no candidate has room, the least loaded replica is tried, so that free
    capacity is never missed.

    Replicas are kept sorted by load, so a choice takes time logarithmic in the size of the pool.
    The chooser reads no clock and draws from the generator that is passed in.
*/
class ReplicaChooser
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit ReplicaChooser(const ReplicaChooserSettings &chooserSettings = {});
    ReplicaChooser(const ReplicaChooser &) = delete;
    ReplicaChooser &operator=(const ReplicaChooser &) = delete;

    /** Adds a replica in the serving state, or changes the capacity of an existing one. */
    void setReplica(const ReplicaDescriptor &descriptor);

    /** Removes a replica. Unknown names are ignored. */
    void removeReplica(const QString &name);

    /** Sets whether a replica may receive new calls. Unknown names are ignored. */
    void setState(const QString &name, ReplicaState state);

    /** Updates a replica's load from a report. Unknown names are ignored. */
    void reportLoad(const QString &name, const LoadReport &report);

    /** Records that this VM sent a call to the replica. The suspect flag is that of the call's
        ChoiceRequest. */
    void started(const QString &name, SteadyTime now, bool suspect = false);

    /** Records that a call of this VM ended, whatever its result. */
    void finished(const QString &name, SteadyTime now, bool suspect = false);

    /** Returns a replica with room, or nothing if no eligible replica has any. */
    [[nodiscard]] std::optional<ReplicaChoice> choose(const ChoiceRequest &request,
                                                      std::mt19937_64 &random) const;

    /** Sets the number of VMs that send to the pool, at least 1. While this VM has fewer calls in
        flight than its equal share of the pool's capacity, it may load replicas somewhat beyond
        their capacity. Otherwise a VM without calls in flight would never find room in a saturated
        pool. */
    void setSendingVms(int vms);

    /** Returns the estimated number of sequences at the replica; 0 for an unknown name. */
    [[nodiscard]] int estimatedSequences(const QString &name) const;

    /** Returns the number of replicas in the serving state. */
    [[nodiscard]] std::size_t servingCount() const noexcept
    {
        return this->serving.size();
    }

private:
    struct Replica;

    /** Sort key of a replica in the order of load. */
    struct LoadKey
    {
        double fraction = 0;
        std::uint64_t insertionNumber = 0;
        const Replica *replica = nullptr;
        friend bool operator<(const LoadKey &left, const LoadKey &right)
        {
            WorkCounter::note();
            return std::tie(left.fraction, left.insertionNumber)
                   < std::tie(right.fraction, right.insertionNumber);
        }
    };

    struct Replica
    {
        ReplicaDescriptor descriptor;
        std::uint64_t insertionNumber = 0; ///< breaks ties between equal loads
        ReplicaState state = ReplicaState::Serving;
        ReplicaLoad load;
        int suspects = 0;
        double loadFraction = 0;      ///< the value stored in byLoad
        std::size_t servingIndex = 0; ///< index into serving; valid only in the serving state
        std::set<LoadKey>::iterator loadPosition; ///< in byLoad; valid only in the serving state
    };

    [[nodiscard]] double loadLimit() const;
    [[nodiscard]] double loadFractionOf(const Replica &replica) const;
    [[nodiscard]] bool isEligible(const ChoiceRequest &request, const Replica &replica) const;
    [[nodiscard]] const Replica *prefixHolder(const ChoiceRequest &request) const;
    [[nodiscard]] const Replica *randomCandidate(const ChoiceRequest &request,
                                                 std::mt19937_64 &random) const;
    [[nodiscard]] const Replica *leastLoaded(const ChoiceRequest &request) const;
    [[nodiscard]] double cost(const ChoiceRequest &request, const Replica &replica) const;
    [[nodiscard]] double meanLoadFraction() const;
    void addToServing(Replica &replica);
    void removeFromServing(Replica &replica);
    void updateLoadOrder(Replica &replica);

    ReplicaChooserSettings settings;
    std::unordered_map<QString, Replica> replicas;
    std::vector<Replica *> serving;
    std::set<LoadKey> byLoad;   ///< the serving replicas
    double loadFractionSum = 0; ///< over the serving replicas
    std::uint64_t replicasAdded = 0;
    std::int64_t servingCapacity = 0; ///< sum over the serving replicas
    std::int64_t ownSequences = 0;    ///< calls of this VM in flight in the whole pool
    int sendingVms = 1;
};

} // namespace lacewingmux
