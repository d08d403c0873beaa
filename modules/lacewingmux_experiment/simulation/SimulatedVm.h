#pragma once

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_experiment/policy/ChooserHooks.h"
#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_experiment/policy/QueueHooks.h"
#include "lacewingmux_experiment/simulation/EventQueue.h"
#include "lacewingmux_experiment/simulation/SimulatedReplica.h"
#include "lacewingmux_experiment/simulation/VmCall.h"
#include "lacewingmux_scheduling/prefixes/PrefixRetention.h"
#include "lacewingmux_scheduling/protection/AdmissionControl.h"
#include "lacewingmux_scheduling/protection/RetryBudget.h"
#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"

#include <QHash>
#include <QString>

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace lacewingmux::experiment {

/**
    One VM: queues the calls of the programs it owns and decides about them alone, by the same
    decision objects as the daemon, from its own calls, late reports and late cache events.
*/
class SimulatedVm
{
public:
    SimulatedVm(QString zoneName, const Policy &runPolicy, std::size_t poolCount,
                std::chrono::milliseconds longestWait, EventQueue &eventQueue, std::uint64_t seed);
    SimulatedVm(const SimulatedVm &) = delete;
    SimulatedVm &operator=(const SimulatedVm &) = delete;

    std::function<bool(const SimulatedReplica &)> reachable; ///< over the network, now
    std::function<void(const CrashCoincidence &)> crashSeen; ///< to be told to the other VMs

    /** Returns the availability zone. */
    [[nodiscard]] const QString &zone() const noexcept
    {
        return this->ownZone;
    }

    /** Makes a replica known as serving. */
    void addReplica(std::size_t pool, SimulatedReplica &replica, int capacity);

    /** Learns how many VMs send to the pools. */
    void setSendingVms(int vms);

    /** Learns that a replica registered itself again. */
    void replicaRegistered(const SimulatedReplica &replica);

    /** Takes a late load report. */
    void loadReported(const SimulatedReplica &replica, const LoadReport &report, double pressure);

    /** Takes a late cache event; the program is unnamed for those of other VMs. */
    void prefixEvicted(const SimulatedReplica &replica, std::uint64_t sequence,
                       const QString &programName);

    /** Takes a crash that another VM saw. */
    void crashTold(const CrashCoincidence &coincidence);

    /** Learns that connections to unreachable replicas broke; their calls are tried again. */
    void connectionsLost();

    /** Takes a call of a program that it owns. */
    void submit(VmCall call);

    /** Learns that a program pauses, with the team and route to learn pauses by. */
    void programPaused(const VmCall &lastCall, std::int64_t prefixTokens);

    /** Learns that a pause of the program is over. */
    void programResumed(const VmCall &nextCall, std::chrono::microseconds pause);

    /** Learns that a program ended. */
    void programEnded(const VmCall &lastCall);

private:
    struct KnownReplica
    {
        SimulatedReplica *replica = nullptr;
        std::size_t pool = 0;
        double pressure = 0;
        bool cutOff = false; ///< unreachable at the last try; the next report ends it
    };
    struct RunningCall
    {
        std::shared_ptr<VmCall> call;
        QString replica;
    };
    struct Pool
    {
        QueueHooks queue;
        ChooserHooks chooser;
        AdmissionControl admission;
        RetryBudget retries;
    };
    using CallPointer = std::shared_ptr<VmCall>;

    void enqueue(const CallPointer &call);
    void expire(std::uint64_t id);
    void pump(std::size_t pool);
    void dispatch(const CallPointer &call, const ReplicaChoice &choice);
    void finished(const CallPointer &call, const ReplicaChoice &choice, std::int64_t cachedTokens);
    void broken(const CallPointer &call, const QString &replica, const QString &crash);
    void releaseElsewhere(const VmCall &call, const QString &replica);
    [[nodiscard]] ChoiceRequest choiceRequest(const VmCall &call) const;

    QString ownZone;
    const Policy &policy;
    std::chrono::milliseconds queueTimeout;
    EventQueue &events;
    std::mt19937_64 random;
    std::vector<Pool> pools;
    std::unordered_map<QString, KnownReplica> replicas;
    std::unordered_map<std::uint64_t, CallPointer> waiting;
    std::unordered_map<std::uint64_t, RunningCall> running; ///< by the id of the item
    std::unordered_map<ProgramNumber, std::set<QString>> holders;
    std::unordered_map<ProgramNumber, std::int64_t> exported; ///< tokens
    PrefixDirectory directory;
    PrefixRetention retention;
    Quarantine quarantine;
    std::uint64_t lastCallId = 0;
};

} // namespace lacewingmux::experiment
