#include "simulation/SimulatedLog.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

SimulatedLog::SimulatedLog(SimulatedDisk &simulatedDisk, TimerService &timerService,
                           std::chrono::milliseconds syncTime)
    : disk(simulatedDisk)
    , timers(timerService)
    , syncDuration(syncTime)
{ }

void SimulatedLog::replay(const ReplayFunction &report)
{
    for (std::size_t index = 0; index < this->disk.records.size(); ++index)
        report(index + 1, this->disk.records[index]);
}

std::uint64_t SimulatedLog::append(const Record &record)
{
    this->unsynced.push_back(record);
    this->startSync();
    return this->lastSequence();
}

void SimulatedLog::whenDurable(std::uint64_t sequence, std::function<void()> callback)
{
    if (sequence <= this->disk.records.size())
        this->timers.post(std::move(callback));
    else
        this->durableCallbacks.emplace(sequence, std::move(callback));
}

std::optional<Record> SimulatedLog::read(std::uint64_t sequence)
{
    if (sequence == 0 || sequence > this->lastSequence())
        return std::nullopt;
    const std::size_t index = sequence - 1;
    return index < this->disk.records.size() ? this->disk.records[index]
                                             : this->unsynced[index - this->disk.records.size()];
}

std::uint64_t SimulatedLog::lastSequence() const
{
    return this->disk.records.size() + this->unsynced.size();
}

std::uint64_t SimulatedLog::expiredUpTo(std::chrono::system_clock::time_point) const
{
    return 0;
}

void SimulatedLog::dropExpired(std::chrono::system_clock::time_point, std::uint64_t)
{ }

void SimulatedLog::tearWrite(std::size_t count)
{
    for (std::size_t index = 0; index < std::min(count, this->unsynced.size()); ++index)
        this->disk.records.push_back(this->unsynced[index]);
}

void SimulatedLog::startSync()
{
    if (std::exchange(this->syncing, true))
        return;
    const std::size_t group = this->unsynced.size();
    this->syncTimer = this->timers.after(this->syncDuration, [this, group] {
        this->syncing = false;
        for (std::size_t index = 0; index < group; ++index)
            this->disk.records.push_back(std::move(this->unsynced[index]));
        this->unsynced.erase(this->unsynced.begin(),
                             this->unsynced.begin() + static_cast<std::ptrdiff_t>(group));
        if (!this->unsynced.empty())
            this->startSync();
        std::multimap<std::uint64_t, std::function<void()>> due;
        const auto end = this->durableCallbacks.upper_bound(this->disk.records.size());
        for (auto callbackEntry = this->durableCallbacks.begin(); callbackEntry != end;)
            due.insert(this->durableCallbacks.extract(callbackEntry++));
        for (const auto &[sequence, callback] : due)
            callback();
    });
}

} // namespace lacewingmux
