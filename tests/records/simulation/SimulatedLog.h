#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/log/DurableLog.h"
#include "simulation/SimulatedDisk.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace lacewingmux {

/** A log on a SimulatedDisk. Records reach the disk in groups, some time after they are appended.
 */
class SimulatedLog final : public DurableLog
{
public:
    SimulatedLog(SimulatedDisk &simulatedDisk, TimerService &timerService,
                 std::chrono::milliseconds syncTime);

    void replay(const ReplayFunction &report) override;
    std::uint64_t append(const Record &record) override;
    void whenDurable(std::uint64_t sequence, std::function<void()> callback) override;
    [[nodiscard]] std::optional<Record> read(std::uint64_t sequence) override;
    [[nodiscard]] std::uint64_t
    expiredUpTo(std::chrono::system_clock::time_point before) const override;
    void dropExpired(std::chrono::system_clock::time_point before,
                     std::uint64_t firstNeeded) override;

    /** Writes only the given number of the first unsynced records, as a write torn by a power loss
        does. */
    void tearWrite(std::size_t count);

    /** Sets how long it takes from now on to write a group of records. */
    void setSyncTime(std::chrono::milliseconds syncTime)
    {
        this->syncDuration = syncTime;
    }

private:
    void startSync();
    [[nodiscard]] std::uint64_t lastSequence() const;

    SimulatedDisk &disk;
    TimerService &timers;
    std::chrono::milliseconds syncDuration;
    std::vector<Record> unsynced;
    bool syncing = false;
    std::multimap<std::uint64_t, std::function<void()>> durableCallbacks;
    TimerSubscription syncTimer;
};

} // namespace lacewingmux
