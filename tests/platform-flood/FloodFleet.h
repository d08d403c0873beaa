#pragma once

#include "FloodKind.h"
#include "FloodReplica.h"
#include "FloodSettings.h"

#include "fleet/LoadBalancer.h"
#include "fleet/VmProcess.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "platform-store/PlatformStoreStandin.h"

#include <memory>
#include <vector>

namespace lacewingmux::flood {

/** A store, three records VMs, three entry VMs, and the replicas of a faulty and a sound service.
 */
class FloodFleet
{
public:
    /** In the settings of each VM. */
    static constexpr int memoryMegabytes = 110;

    FloodFleet(FloodSettings floodSettings, const FloodKind &kind);
    ~FloodFleet();
    FloodFleet(const FloodFleet &) = delete;
    FloodFleet &operator=(const FloodFleet &) = delete;

    /** Starts everything and waits until all entry VMs are ready. Throws LacewingmuxError. */
    void start();

    /** Returns the entry VM that gets all calls. */
    [[nodiscard]] soak::VmProcess &entryVm()
    {
        return *this->entryVms.front();
    }

private:
    void addReplica(const QByteArray &service, int number, std::optional<FloodKind> kind);

    FloodSettings settings;
    QtTimerService timers;
    standin::PlatformStoreStandin store;
    soak::LoadBalancer balancer;
    std::vector<std::unique_ptr<soak::VmProcess>> recordsVms;
    std::vector<std::unique_ptr<soak::VmProcess>> entryVms;
    std::vector<std::unique_ptr<FloodReplica>> replicas;
};

} // namespace lacewingmux::flood
