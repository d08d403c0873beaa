#pragma once

#include "SoakSettings.h"
#include "fleet/LoadBalancer.h"
#include "fleet/SoakConfiguration.h"
#include "fleet/VmDisruption.h"
#include "fleet/VmProcess.h"
#include "plan/SoakPlan.h"

#include "platform-store/PlatformStoreStandin.h"

#include <QStringList>

#include <memory>
#include <vector>

namespace lacewingmux::soak {

class ReplicaProcess;

/** The store, the records VMs, the entry VMs and the replicas of a run, and what is done to them.
 */
class SoakFleet
{
public:
    SoakFleet(const SoakSettings &soakSettings, const SoakPlan &soakPlan,
              TimerService &timerService);
    ~SoakFleet();
    SoakFleet(const SoakFleet &) = delete;
    SoakFleet &operator=(const SoakFleet &) = delete;

    /** Starts everything and waits until all entry VMs are ready. Throws LacewingmuxError. */
    void start();

    void perform(const PlanStep &step);

    [[nodiscard]] LoadBalancer &balancer() noexcept
    {
        return this->loadBalancer;
    }
    [[nodiscard]] const SoakConfiguration &configuration() const noexcept
    {
        return this->soakConfiguration;
    }
    [[nodiscard]] const std::vector<VmDisruption> &disruptions() const noexcept
    {
        return this->vmDisruptions;
    }

    /** Returns whether no entry VM is stopping or starting. */
    [[nodiscard]] bool isSettled() const;

    /** Returns the processes that have ended though nobody stopped them. */
    [[nodiscard]] std::vector<QByteArray> endedProcesses() const;

    [[nodiscard]] QStringList entryVmLogs() const;

private:
    struct EntryVm
    {
        std::unique_ptr<VmProcess> process;
        bool isStopping = false;
        TimerSubscription endTimer;
    };

    void startReplica(const SoakPlan::ReplicaLimits &limits);
    void writeConfiguration();
    void stutter(const PlanStep &step);
    void cutLinks(const PlanStep &step);
    /** Writes a file that is removed once the step is over. */
    void writeWhile(const PlanStep &step, const QString &path, const QByteArray &text);
    void silence(const PlanStep &step);
    void configure(const PlanStep &step);
    void leave(const PlanStep &step);
    void stopVm(const PlanStep &step);
    void pauseVm(const PlanStep &step);
    void watchStop(EntryVm &vm, std::size_t stop);
    [[nodiscard]] VmProcess::Surroundings surroundings() const;

    SoakSettings settings;
    SoakPlan plan;
    TimerService &timers;
    standin::PlatformStoreStandin store;
    std::uint16_t storePort = 0;
    SoakConfiguration soakConfiguration;
    LoadBalancer loadBalancer;
    std::vector<std::unique_ptr<VmProcess>> recordsVms;
    std::vector<std::unique_ptr<EntryVm>> entryVms;
    std::vector<std::unique_ptr<ReplicaProcess>> replicas;
    std::vector<VmDisruption> vmDisruptions;
    std::vector<TimerSubscription> pauseTimers;
};

} // namespace lacewingmux::soak
