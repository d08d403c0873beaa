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
    Decides which replica of one pool runs a call. Every VM has its own and decides alone.

    The replica that holds the program's prefix is weighed against two drawn at random: the tokens
    that would have to be computed, plus a penalty for load, decide. The holder takes part only
    while its load is at most the pool's mean plus a margin. Drawing two at random instead of
    taking the least loaded keeps VMs with the same lagging reports from piling onto one replica
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). When neither
    drawn replica has room the least loaded one is looked at, so that room is never overlooked.

    Loads are kept in order, so a choice costs at most the logarithm of the pool.
    Pure: it reads no clock and draws from the generator it is given.
*/
class ReplicaChooser
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit ReplicaChooser(const ReplicaChooserSettings &chooserSettings = {});
    ReplicaChooser(const ReplicaChooser &) = delete;
    ReplicaChooser &operator=(const ReplicaChooser &) = delete;

    /** Adds a replica as serving, or changes the capacity of a known one. */
    void setReplica(const ReplicaDescriptor &descriptor);

    /** Forgets a replica. */
    void removeReplica(const QString &name);

    /** Changes whether a replica may receive new calls. Unknown names are ignored. */
    void setState(const QString &name, ReplicaState state);

    /** Takes a load report. Unknown names are ignored. */
    void reportLoad(const QString &name, const LoadReport &report);

    /** Notes that an own call was sent to the replica; suspect as in its ChoiceRequest. */
    void started(const QString &name, SteadyTime now, bool suspect = false);

    /** Notes that an own call ended, however it did. */
    void finished(const QString &name, SteadyTime now, bool suspect = false);

    /** Chooses a replica with room, or nothing when none of those allowed has any. */
    [[nodiscard]] std::optional<ReplicaChoice> choose(const ChoiceRequest &request,
                                                      std::mt19937_64 &random) const;

    /** Tells how many VMs send to the pool, at least 1. While this VM has fewer calls in flight
        than its even part of the pool's capacity, replicas take a little more than their capacity
        from it. Otherwise a VM that has none in flight would never see room in a saturated pool. */
    void setSendingVms(int vms);

    /** Returns the estimated sequences at the replica; 0 for an unknown name. */
    [[nodiscard]] int estimatedSequences(const QString &name) const;

    /** Returns how many replicas serve. */
    [[nodiscard]] std::size_t servingCount() const noexcept
    {
        return this->serving.size();
    }

private:
    struct Replica;

    /** Place of a replica in the order of load. */
    struct LoadKey
    {
        double fraction = 0;
        std::uint64_t number = 0;
        const Replica *replica = nullptr;
        friend bool operator<(const LoadKey &left, const LoadKey &right)
        {
            WorkCounter::note();
            return std::tie(left.fraction, left.number) < std::tie(right.fraction, right.number);
        }
    };

    struct Replica
    {
        ReplicaDescriptor descriptor;
        std::uint64_t number = 0; ///< in the order of adding; decides between equal loads
        ReplicaState state = ReplicaState::Serving;
        ReplicaLoad load;
        int suspects = 0;
        double loadFraction = 0;           ///< as it stands in byLoad
        std::size_t servingIndex = 0;      ///< into serving, meaningful while it serves
        std::set<LoadKey>::iterator place; ///< in byLoad, meaningful while it serves
    };

    [[nodiscard]] double admissibleLoad() const;
    [[nodiscard]] double loadFractionOf(const Replica &replica) const;
    [[nodiscard]] bool allowed(const ChoiceRequest &request, const Replica &replica) const;
    [[nodiscard]] const Replica *prefixHolder(const ChoiceRequest &request) const;
    [[nodiscard]] const Replica *drawn(const ChoiceRequest &request, std::mt19937_64 &random) const;
    [[nodiscard]] const Replica *leastLoaded(const ChoiceRequest &request) const;
    [[nodiscard]] double cost(const ChoiceRequest &request, const Replica &replica) const;
    [[nodiscard]] double meanLoadFraction() const;
    void link(Replica &replica);
    void unlink(Replica &replica);
    void refresh(Replica &replica);

    ReplicaChooserSettings settings;
    std::unordered_map<QString, Replica> replicas;
    std::vector<Replica *> serving;
    std::set<LoadKey> byLoad;   ///< the serving replicas
    double loadFractionSum = 0; ///< over the serving replicas
    std::uint64_t replicasAdded = 0;
    std::int64_t servingCapacity = 0; ///< sum over the serving replicas
    std::int64_t ownSequences = 0;    ///< of this VM in the whole pool
    int sendingVms = 1;
};

} // namespace lacewingmux
