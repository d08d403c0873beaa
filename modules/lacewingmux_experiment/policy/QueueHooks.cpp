#include "lacewingmux_experiment/policy/QueueHooks.h"

#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_scheduling/naive/FirstComeFirstServedQueue.h"
#include "lacewingmux_scheduling/queue/WorkQueue.h"

#include <memory>

namespace lacewingmux::experiment {

namespace {

QueueHooks makeNaiveQueue()
{
    const auto queue = std::make_shared<FirstComeFirstServedQueue>();
    QueueHooks hooks;
    hooks.push = [queue](const WorkItem &item, TimerService::SteadyTime) { queue->push(item); };
    hooks.next = [queue] { return queue->next(); };
    hooks.take = [queue](std::uint64_t id) { return queue->take(id); };
    hooks.remove = hooks.take;
    hooks.settle = [](const WorkItem &, std::int64_t) {};
    hooks.size = [queue] { return queue->size(); };
    hooks.teamSize = [queue](const QString &) { return queue->size(); };
    hooks.teamShare = [](const QString &, double) { return 1.0; };
    hooks.enginePriority = [](const QString &) { return 0; };
    return hooks;
}

} // namespace

QueueHooks makeQueue(const Policy &policy)
{
    if (policy.naiveQueue)
        return makeNaiveQueue();
    const auto queue = std::make_shared<WorkQueue>(policy.queue);
    QueueHooks hooks;
    hooks.push = [queue](const WorkItem &item, TimerService::SteadyTime enqueuedAt) {
        queue->push(item, enqueuedAt);
    };
    hooks.next = [queue] { return queue->next(); };
    hooks.take = [queue](std::uint64_t id) { return queue->take(id); };
    hooks.remove = [queue](std::uint64_t id) { return queue->remove(id); };
    hooks.settle = [queue](const WorkItem &taken, std::int64_t actualTokens) {
        queue->settle(taken, actualTokens);
    };
    hooks.size = [queue] { return queue->size(); };
    hooks.teamSize = [queue](const QString &team) { return queue->teamSize(team); };
    hooks.teamShare = [queue](const QString &team, double weight) {
        return queue->teamShare(team, weight);
    };
    hooks.enginePriority = [queue](const QString &team) { return queue->enginePriority(team); };
    return hooks;
}

} // namespace lacewingmux::experiment
