#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/queue/WorkItem.h"

#include <cstdint>
#include <functional>

namespace lacewingmux::experiment {

struct Policy;

/** The operations of a queue of calls, over WorkQueue or its naive twin. */
struct QueueHooks
{
    std::function<void(const WorkItem &, TimerService::SteadyTime enqueuedAt)> push;
    std::function<const WorkItem *()> next;
    std::function<bool(std::uint64_t id)> take;
    std::function<bool(std::uint64_t id)> remove;
    std::function<void(const WorkItem &taken, std::int64_t actualTokens)> settle;
    std::function<std::size_t()> size;
    std::function<std::size_t(const QString &team)> teamSize;
    std::function<double(const QString &team, double weight)> teamShare;
    std::function<int(const QString &team)> enginePriority;
};

/** Makes the queue that the policy asks for. */
[[nodiscard]] QueueHooks makeQueue(const Policy &policy);

} // namespace lacewingmux::experiment
