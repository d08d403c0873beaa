#pragma once

#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_experiment/results/RunResult.h"
#include "lacewingmux_experiment/simulation/EventQueue.h"
#include "lacewingmux_experiment/simulation/ProgramRun.h"
#include "lacewingmux_experiment/simulation/SimulatedReplica.h"
#include "lacewingmux_experiment/simulation/SimulatedVm.h"
#include "lacewingmux_experiment/workload/ProgramPlan.h"
#include "lacewingmux_experiment/workload/Workload.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace lacewingmux::experiment {

/** One run: the programs of a seed against one policy, on a virtual clock. */
class Simulation
{
public:
    Simulation(const Workload &runWorkload, const Policy &runPolicy, std::uint64_t seed);
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /** Runs until every program has ended, at most until Workload::longestRun(). */
    [[nodiscard]] RunResult run();

private:
    void buildFleet(std::uint64_t seed);
    void addReplica(std::size_t pool, int index);
    void scheduleArrivals();
    void scheduleFaults();
    void scheduleReports(SimulatedReplica &replica);
    void sampleMemory();
    void replicaCrashed(SimulatedReplica &replica, std::chrono::seconds downFor);
    void registerAgain(const SimulatedReplica &replica);
    void publishEviction(std::size_t replicaIndex, ProgramNumber program);
    void tellCrash(const SimulatedVm &from, const CrashCoincidence &coincidence);
    [[nodiscard]] bool connected(const QString &zone, const QString &otherZone) const;
    [[nodiscard]] SimulatedReplica *replicaNamed(const QString &name);

    void startProgram(const ProgramPlan &plan, ProgramRun *parent);
    void issueCall(ProgramRun &program);
    [[nodiscard]] VmCall makeCall(ProgramRun &program);
    void callEnded(ProgramRun &program, CallOutcome outcome, std::chrono::milliseconds retryAfter);
    void callFinished(ProgramRun &program);
    void resumeWhenReady(ProgramRun &program);
    void endProgram(ProgramRun &program, bool completed);
    [[nodiscard]] SimulatedVm &ownerOf(const ProgramRun &program);
    [[nodiscard]] RunResult collect();

    const Workload &workload;
    const Policy &policy;
    std::mt19937_64 random;
    EventQueue events;
    std::vector<ProgramPlan> plans;
    std::deque<ProgramRun> programs; ///< by number; helpers included
    std::vector<std::unique_ptr<SimulatedReplica>> replicas;
    std::vector<std::uint64_t> eventSequences; ///< of cache events, by replica
    std::vector<std::unique_ptr<SimulatedVm>> vms;
    std::set<QString> cutZones;
    bool storeDown = false;
    std::vector<const SimulatedReplica *> unregistered; ///< restarted while the store was down
    std::size_t rootsEnded = 0;
    RunResult result;
};

} // namespace lacewingmux::experiment
