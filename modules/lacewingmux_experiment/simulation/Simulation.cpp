#include "lacewingmux_experiment/simulation/Simulation.h"

#include "lacewingmux_experiment/workload/ProgramGenerator.h"

#include <algorithm>
#include <utility>

namespace lacewingmux::experiment {

namespace {

constexpr std::chrono::seconds restartTime{30};
constexpr std::chrono::milliseconds peerLag{50};
constexpr std::chrono::milliseconds eventLag{300};
constexpr double eventLoss = 0.1;
constexpr std::chrono::seconds memorySampleInterval{1};

} // namespace

Simulation::Simulation(const Workload &runWorkload, const Policy &runPolicy, std::uint64_t seed)
    : workload(runWorkload)
    , policy(runPolicy)
    , random(seed * 7919 + 1)
    , plans(ProgramGenerator(runWorkload, seed).programs())
{
    this->buildFleet(seed);
}

RunResult Simulation::run()
{
    this->scheduleArrivals();
    this->scheduleFaults();
    for (const auto &replica : this->replicas)
        this->scheduleReports(*replica);
    this->sampleMemory();
    this->events.run([this] { return this->rootsEnded == this->plans.size(); },
                     this->workload.longestRun());
    return this->collect();
}

void Simulation::buildFleet(std::uint64_t seed)
{
    for (const ZoneSpec &zone : this->workload.zones) {
        for (int index = 0; index < zone.vms; ++index) {
            this->vms.push_back(std::make_unique<SimulatedVm>(
                    zone.name, this->policy, this->workload.pools.size(),
                    this->workload.queueTimeout, this->events, seed * 1000 + this->vms.size()));
            SimulatedVm &vm = *this->vms.back();
            vm.reachable = [this, &vm](const SimulatedReplica &replica) {
                return this->connected(vm.zone(), replica.zone());
            };
            vm.crashSeen = [this, &vm](const CrashCoincidence &coincidence) {
                this->tellCrash(vm, coincidence);
            };
        }
    }
    for (const auto &vm : this->vms)
        vm->setSendingVms(static_cast<int>(this->vms.size()));
    for (std::size_t pool = 0; pool < this->workload.pools.size(); ++pool)
        for (int index = 0; index < this->workload.pools[pool].replicas; ++index)
            this->addReplica(pool, index);
    this->eventSequences.resize(this->replicas.size());
}

void Simulation::addReplica(std::size_t pool, int index)
{
    const PoolSpec &spec = this->workload.pools[pool];
    const ZoneSpec &zone =
            this->workload.zones[static_cast<std::size_t>(index) % this->workload.zones.size()];
    const QString name = QStringLiteral("%1-%2").arg(spec.name).arg(index);
    const std::size_t replicaIndex = this->replicas.size();
    this->replicas.push_back(
            std::make_unique<SimulatedReplica>(name, zone.name, spec, this->events));
    SimulatedReplica &replica = *this->replicas.back();
    replica.evicted = [this, replicaIndex](ProgramNumber program) {
        this->publishEviction(replicaIndex, program);
    };
    replica.crashed = [this, &replica] { this->replicaCrashed(replica, restartTime); };
    for (const auto &vm : this->vms)
        vm->addReplica(pool, replica, spec.capacity);
}

void Simulation::scheduleArrivals()
{
    for (const ProgramPlan &plan : this->plans)
        this->events.after(plan.arrival, [this, &plan] { this->startProgram(plan, nullptr); });
}

void Simulation::scheduleFaults()
{
    for (const FaultSpec &fault : this->workload.faults) {
        const auto schedule = [this, &fault](const std::function<void(bool begins)> &change) {
            this->events.after(fault.at, [change] { change(true); });
            this->events.after(fault.at + fault.duration, [change] { change(false); });
        };
        SimulatedReplica *replica = this->replicaNamed(fault.target);
        if (fault.kind == FaultKind::ReplicaCrash && replica)
            this->events.after(fault.at, [replica] { replica->crash(); });
        if (fault.kind == FaultKind::ReplicaSlow && replica)
            schedule([replica, factor = fault.factor](bool begins) {
                replica->setSlowness(begins ? factor : 1);
            });
        if (fault.kind == FaultKind::ZoneCut)
            schedule([this, zone = fault.target](bool begins) {
                if (!begins) {
                    this->cutZones.erase(zone);
                    return;
                }
                this->cutZones.insert(zone);
                for (const auto &vm : this->vms)
                    vm->connectionsLost();
            });
        if (fault.kind == FaultKind::StoreOutage)
            schedule([this](bool begins) {
                this->storeDown = begins;
                for (const SimulatedReplica *waiting : std::exchange(this->unregistered, {}))
                    this->registerAgain(*waiting);
            });
    }
}

void Simulation::scheduleReports(SimulatedReplica &replica)
{
    this->events.after(this->workload.reportInterval, [this, &replica] {
        const LoadReport report{replica.sequences(), this->events.now()};
        const double pressure = replica.memoryPressure();
        const bool up = replica.isUp();
        this->events.after(this->workload.reportLag, [this, &replica, report, pressure, up] {
            for (const auto &vm : this->vms)
                if (up && this->connected(vm->zone(), replica.zone()))
                    vm->loadReported(replica, report, pressure);
        });
        this->scheduleReports(replica);
    });
}

void Simulation::sampleMemory()
{
    this->events.after(memorySampleInterval, [this] {
        const double seconds = std::chrono::duration<double>(memorySampleInterval).count();
        for (const auto &replica : this->replicas)
            replica->prefixes().forEach([this, seconds](ProgramNumber number, std::int64_t tokens) {
                const bool ended = this->programs[number].ended;
                double &held =
                        ended ? this->result.endedTokenSeconds : this->result.pausedTokenSeconds;
                held += static_cast<double>(tokens) * seconds;
            });
        this->sampleMemory();
    });
}

void Simulation::replicaCrashed(SimulatedReplica &replica, std::chrono::seconds downFor)
{
    ++this->result.crashes;
    this->events.after(downFor, [this, &replica] {
        replica.restart();
        this->registerAgain(replica);
    });
}

void Simulation::registerAgain(const SimulatedReplica &replica)
{
    if (this->storeDown) {
        this->unregistered.push_back(&replica);
        return;
    }
    for (const auto &vm : this->vms)
        vm->replicaRegistered(replica);
}

void Simulation::publishEviction(std::size_t replicaIndex, ProgramNumber program)
{
    const std::uint64_t sequence = ++this->eventSequences[replicaIndex];
    if (std::bernoulli_distribution(eventLoss)(this->random))
        return;
    const SimulatedReplica &replica = *this->replicas[replicaIndex];
    this->events.after(eventLag, [this, &replica, sequence, program] {
        for (const auto &vm : this->vms)
            if (this->connected(vm->zone(), replica.zone()))
                vm->prefixEvicted(replica, sequence, QString::number(program));
    });
}

void Simulation::tellCrash(const SimulatedVm &from, const CrashCoincidence &coincidence)
{
    for (const auto &vm : this->vms) {
        if (vm.get() == &from || !this->connected(from.zone(), vm->zone()))
            continue;
        this->events.after(peerLag, [&told = *vm, coincidence] { told.crashTold(coincidence); });
    }
}

bool Simulation::connected(const QString &zone, const QString &otherZone) const
{
    return zone == otherZone
           || (!this->cutZones.contains(zone) && !this->cutZones.contains(otherZone));
}

SimulatedReplica *Simulation::replicaNamed(const QString &name)
{
    const auto found =
            std::find_if(this->replicas.begin(), this->replicas.end(),
                         [&name](const auto &replica) { return replica->name() == name; });
    return found == this->replicas.end() ? nullptr : found->get();
}

RunResult Simulation::collect()
{
    for (const auto &replica : this->replicas)
        this->result.recomputedTokens += replica->recomputedTokens();
    for (const ProgramRun &program : this->programs) {
        if (program.parent || program.ended)
            continue;
        const ProgramPlan &plan = *program.plan;
        const auto makespan = std::chrono::duration_cast<std::chrono::microseconds>(
                this->events.now() - program.startedAt);
        this->result.programs.push_back(
                {plan.classIndex, plan.teamIndex, false, plan.poisoned, makespan,
                 latencyAlone(plan, this->workload.pools[plan.poolIndex]), pausesOf(plan)});
    }
    return std::move(this->result);
}

} // namespace lacewingmux::experiment
