#pragma once

#include "lacewingmux_experiment/simulation/EventQueue.h"
#include "lacewingmux_experiment/simulation/PrefixCache.h"
#include "lacewingmux_experiment/workload/Workload.h"

#include <QString>

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace lacewingmux::experiment {

/** A call as a replica gets it. */
struct ReplicaCall
{
    ProgramNumber program = 0;
    std::int64_t historyTokens = 0; ///< prompt that was computed for the program before
    std::int64_t newTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t importedTokens = 0; ///< of the history, brought along from an export
    int priority = 0;                ///< lower is prefilled and admitted first
    bool poisoned = false;
    std::function<void(std::int64_t cachedTokens)> finished;
    std::function<void()> broken; ///< the replica crashed or was cut off
};

/**
    A model engine reduced to what the decisions feel: continuous batching whose step time grows
    with the batch, chunked prefill of the tokens that aren't cached, and a bounded memory shared by
    running sequences and cached prefixes.
*/
class SimulatedReplica
{
public:
    SimulatedReplica(QString replicaName, QString zoneName, const PoolSpec &poolSpec,
                     EventQueue &eventQueue);
    SimulatedReplica(const SimulatedReplica &) = delete;
    SimulatedReplica &operator=(const SimulatedReplica &) = delete;

    std::function<void(ProgramNumber program)> evicted; ///< the source of cache events
    std::function<void()> crashed;                      ///< after the calls were told

    /** Returns the name, unique in the fleet. */
    [[nodiscard]] const QString &name() const noexcept
    {
        return this->ownName;
    }

    /** Returns the availability zone. */
    [[nodiscard]] const QString &zone() const noexcept
    {
        return this->ownZone;
    }

    /** Returns whether the process runs. */
    [[nodiscard]] bool isUp() const noexcept
    {
        return this->up;
    }

    /** Returns a number that tells one crash of this replica from the next. */
    [[nodiscard]] std::uint64_t startNumber() const noexcept
    {
        return this->starts;
    }

    /** Takes a call; it waits while the batch is full. */
    void submit(ReplicaCall call);

    /** Releases the prefix of a program. */
    void drop(ProgramNumber program);

    /** Loses all calls and prefixes; down until restart(). */
    void crash();

    /** Comes back empty. */
    void restart();

    /** Multiplies the time of each step from now on. */
    void setSlowness(double factor);

    /** Returns sequences running and waiting. */
    [[nodiscard]] int sequences() const;

    /** Returns the part of the memory in use. */
    [[nodiscard]] double memoryPressure() const;

    /** Returns the prefixes held of programs that don't run here now. */
    [[nodiscard]] const PrefixCache &prefixes() const noexcept
    {
        return this->cache;
    }

    /** Returns the history tokens that were computed again, since the start of the run. */
    [[nodiscard]] std::int64_t recomputedTokens() const noexcept
    {
        return this->recomputed;
    }

private:
    struct Sequence
    {
        ReplicaCall call;
        std::int64_t cachedTokens = 0;
        std::int64_t prefillLeft = 0;
        std::int64_t outputLeft = 0;
        std::int64_t chunk = 0; ///< prefill tokens in the present step
    };

    void admitWaiting();
    void startStep();
    void endStep();
    void finish(const Sequence &sequence);
    void fitMemory();

    QString ownName;
    QString ownZone;
    const PoolSpec &pool;
    EventQueue &events;
    PrefixCache cache;
    std::deque<ReplicaCall> waiting;
    std::vector<Sequence> running;
    std::int64_t runningTokens = 0;
    std::int64_t recomputed = 0;
    std::uint64_t starts = 1;
    double slowness = 1;
    bool up = true;
    bool stepping = false;
};

} // namespace lacewingmux::experiment
