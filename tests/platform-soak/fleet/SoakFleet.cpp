#include "fleet/SoakFleet.h"

#include "deployment/EventLoopWait.h"
#include "deployment/ManagedProcess.h"
#include "fleet/ReplicaProcess.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QFile>

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds readyBound{60000};
constexpr milliseconds stopCheckInterval{50};
constexpr milliseconds restartPause{1000};
constexpr int zoneCount = 3;
constexpr std::uint32_t seedsPerRun = 1000;

} // namespace

SoakFleet::SoakFleet(const SoakSettings &soakSettings, const SoakPlan &soakPlan,
                     TimerService &timerService)
    : settings(soakSettings)
    , plan(soakPlan)
    , timers(timerService)
    , store(timerService)
    , soakConfiguration(soakSettings.seed)
    , loadBalancer(timerService, soakSettings.seed)
{ }

SoakFleet::~SoakFleet() = default;

void SoakFleet::start()
{
    this->storePort = this->store.start();
    this->writeConfiguration();
    for (const SoakPlan::ReplicaLimits &limits : this->plan.replicaLimits()) {
        for (int number = 0; number < this->settings.replicasPerService(); ++number)
            this->startReplica(limits);
    }
    for (int number = 0; number < SoakSettings::recordsVmCount; ++number) {
        this->recordsVms.push_back(std::make_unique<VmProcess>(VmProcess::Role::Records, number,
                                                               this->surroundings()));
        this->recordsVms.back()->start();
    }
    for (int number = 0; number < this->settings.entryVmCount(); ++number) {
        auto vm = std::make_unique<EntryVm>();
        vm->process =
                std::make_unique<VmProcess>(VmProcess::Role::Front, number, this->surroundings());
        vm->process->start();
        this->loadBalancer.add(*vm->process);
        this->entryVms.push_back(std::move(vm));
    }
    if (!standin::waitUntil([this] { return this->loadBalancer.areAllReady(); }, readyBound))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("the entry VMs did not become ready"));
}

VmProcess::Surroundings SoakFleet::surroundings() const
{
    return {this->settings.daemonFolder, this->settings.folder, this->storePort,
            this->settings.linksAreCut};
}

void SoakFleet::startReplica(const SoakPlan::ReplicaLimits &limits)
{
    const std::size_t number = this->replicas.size();
    this->replicas.push_back(std::make_unique<ReplicaProcess>(
            limits.service + '-' + QByteArray::number(static_cast<qint64>(number)),
            "zone-" + QByteArray::number(static_cast<qint64>(number % zoneCount)), limits,
            this->settings.binaryFolder, this->settings.folder,
            this->settings.seed * seedsPerRun + static_cast<std::uint32_t>(number)));
    ReplicaProcess &replica = *this->replicas.back();
    replica.start();
    this->store.contents().put(replica.storeKey(), replica.storeEntry(false));
}

void SoakFleet::writeConfiguration()
{
    this->store.contents().put("op/config", this->soakConfiguration.document());
    this->soakConfiguration.noteWritten(this->timers.now());
}

void SoakFleet::perform(const PlanStep &step)
{
    switch (step.kind) {
    case StepKind::Silence:
        this->silence(step);
        break;
    case StepKind::Configure:
        this->configure(step);
        break;
    case StepKind::Leave:
        this->leave(step);
        break;
    case StepKind::StopVm:
        this->stopVm(step);
        break;
    case StepKind::PauseVm:
        this->pauseVm(step);
        break;
    case StepKind::Stutter:
        this->stutter(step);
        break;
    case StepKind::CutLinks:
        this->cutLinks(step);
        break;
    }
}

void SoakFleet::stutter(const PlanStep &step)
{
    this->writeWhile(step, ReplicaProcess::stutterFile(this->settings.folder, step.service), {});
}

void SoakFleet::cutLinks(const PlanStep &step)
{
    QByteArray ports;
    int number = 0;
    for (const auto &replica : this->replicas) {
        if (replica->service() == step.service && (step.allReplicas || number++ % 2 == 0))
            ports += QByteArray::number(replica->listeningPort()) + '\n';
    }
    this->writeWhile(step, this->entryVms[static_cast<std::size_t>(step.vm)]->process->cutsFile(),
                     ports);
}

void SoakFleet::writeWhile(const PlanStep &step, const QString &path, const QByteArray &text)
{
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly) || file.write(text) != text.size())
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("can't write ") + path);
    this->pauseTimers.push_back(this->timers.after(step.duration, [path] { QFile::remove(path); }));
}

void SoakFleet::silence(const PlanStep &step)
{
    int number = 0;
    for (const auto &replica : this->replicas) {
        if (replica->service() != step.service || (!step.allReplicas && number++ % 2 == 1))
            continue;
        replica->process().pause();
        this->pauseTimers.push_back(this->timers.after(
                step.duration, [target = replica.get()] { target->process().resume(); }));
    }
}

void SoakFleet::configure(const PlanStep &step)
{
    this->soakConfiguration.change(step.change);
    this->writeConfiguration();
}

void SoakFleet::leave(const PlanStep &step)
{
    // There is always one, as another replica is started for each one that leaves.
    const auto found = std::find_if(
            this->replicas.begin(), this->replicas.end(), [&step](const auto &replica) {
                return replica->service() == step.service && !replica->hasLeft;
            });
    ReplicaProcess &replica = **found;
    replica.hasLeft = true;
    replica.process().terminate();
    if (step.isAnnounced)
        this->store.contents().put(replica.storeKey(), replica.storeEntry(true));
    else
        this->store.contents().remove(replica.storeKey());
    const auto &limits = this->plan.replicaLimits();
    this->startReplica(*std::find_if(limits.begin(), limits.end(), [&step](const auto &entry) {
        return entry.service == step.service;
    }));
}

void SoakFleet::stopVm(const PlanStep &step)
{
    EntryVm &vm = *this->entryVms[static_cast<std::size_t>(step.vm)];
    if (vm.isStopping)
        return;
    vm.isStopping = true;
    this->vmDisruptions.push_back({vm.process->name(), this->timers.now(), true, {}, false});
    vm.process->process().terminate();
    this->watchStop(vm, this->vmDisruptions.size() - 1);
}

void SoakFleet::pauseVm(const PlanStep &step)
{
    EntryVm &vm = *this->entryVms[static_cast<std::size_t>(step.vm)];
    if (vm.isStopping)
        return;
    const std::size_t pause = this->vmDisruptions.size();
    this->vmDisruptions.push_back(
            {vm.process->name(), this->timers.now(), false, this->timers.now() + step.duration});
    vm.process->process().pause();
    this->pauseTimers.push_back(this->timers.after(step.duration, [this, &vm, pause] {
        this->vmDisruptions[pause].end = this->timers.now();
        vm.process->process().resume();
    }));
}

void SoakFleet::watchStop(EntryVm &vm, std::size_t stop)
{
    const auto elapsed = this->timers.now() - this->vmDisruptions[stop].begin;
    const bool isRunning = vm.process->process().isRunning();
    if (isRunning && elapsed < VmDisruption::stopLimit) {
        vm.endTimer = this->timers.after(stopCheckInterval,
                                         [this, &vm, stop] { this->watchStop(vm, stop); });
        return;
    }
    if (isRunning) {
        this->vmDisruptions[stop].wasKilled = true;
        vm.process->process().kill();
    }
    vm.endTimer = this->timers.after(restartPause, [&vm] {
        vm.process->start();
        vm.isStopping = false;
    });
}

bool SoakFleet::isSettled() const
{
    return std::none_of(this->entryVms.begin(), this->entryVms.end(),
                        [](const auto &vm) { return vm->isStopping; });
}

std::vector<QByteArray> SoakFleet::endedProcesses() const
{
    std::vector<QByteArray> ended;
    for (const auto &vm : this->recordsVms) {
        if (!vm->process().isRunning())
            ended.push_back(vm->name());
    }
    for (const auto &vm : this->entryVms) {
        if (!vm->isStopping && !vm->process->process().isRunning())
            ended.push_back(vm->process->name());
    }
    for (const auto &replica : this->replicas) {
        if (!replica->process().isRunning())
            ended.push_back(replica->storeKey());
    }
    return ended;
}

QStringList SoakFleet::entryVmLogs() const
{
    QStringList files;
    for (const auto &vm : this->entryVms)
        files.append(vm->process->logFile());
    return files;
}

} // namespace lacewingmux::soak
