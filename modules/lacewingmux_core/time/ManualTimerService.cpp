#include "lacewingmux_core/time/ManualTimerService.h"

#include <algorithm>
#include <deque>

namespace lacewingmux {

struct ManualTimerService::State
{
    SteadyTime now{std::chrono::hours(1)};
    std::uint64_t nextOrder = 0;
    std::map<Key, Entry> entries;
    std::map<std::uint64_t, SteadyTime> dueByOrder;
    std::deque<std::function<void()>> posted;
};

ManualTimerService::ManualTimerService()
    : state(std::make_shared<State>())
{ }

ManualTimerService::~ManualTimerService() = default;

TimerService::SteadyTime ManualTimerService::now() const
{
    return this->state->now;
}

TimerService::WallTime ManualTimerService::wallNow() const
{
    return WallTime(
            std::chrono::duration_cast<WallTime::duration>(this->state->now.time_since_epoch()));
}

TimerSubscription ManualTimerService::every(std::chrono::milliseconds interval,
                                            std::function<void()> callback)
{
    return this->start(interval, std::max(interval, std::chrono::milliseconds(1)),
                       std::move(callback));
}

TimerSubscription ManualTimerService::after(std::chrono::milliseconds delay,
                                            std::function<void()> callback)
{
    return this->start(delay, std::chrono::milliseconds(0), std::move(callback));
}

void ManualTimerService::post(std::function<void()> callback)
{
    this->state->posted.push_back(std::move(callback));
}

void ManualTimerService::advance(std::chrono::milliseconds duration)
{
    const SteadyTime end = this->state->now + duration;
    this->runPosted();
    while (!this->state->entries.empty() && this->state->entries.begin()->first.due <= end) {
        auto node = this->state->entries.extract(this->state->entries.begin());
        this->state->now = std::max(this->state->now, node.key().due);
        const std::uint64_t order = node.key().order;
        const std::function<void()> callback = node.mapped().callback;
        if (node.mapped().interval.count() > 0) {
            node.key().due += node.mapped().interval;
            this->state->dueByOrder[order] = node.key().due;
            this->state->entries.insert(std::move(node));
        } else {
            this->state->dueByOrder.erase(order);
        }
        callback();
        this->runPosted();
    }
    this->state->now = end;
}

void ManualTimerService::runPosted()
{
    while (!this->state->posted.empty()) {
        const std::function<void()> callback = std::move(this->state->posted.front());
        this->state->posted.pop_front();
        callback();
    }
}

TimerSubscription ManualTimerService::start(std::chrono::milliseconds delay,
                                            std::chrono::milliseconds interval,
                                            std::function<void()> callback)
{
    const std::uint64_t order = this->state->nextOrder++;
    const SteadyTime due = this->state->now + delay;
    this->state->entries.emplace(Key{due, order}, Entry{interval, std::move(callback)});
    this->state->dueByOrder.emplace(order, due);
    return TimerSubscription([weak = std::weak_ptr<State>(this->state), order] {
        const auto locked = weak.lock();
        if (!locked)
            return;
        const auto found = locked->dueByOrder.find(order);
        if (found == locked->dueByOrder.end())
            return;
        locked->entries.erase(Key{found->second, order});
        locked->dueByOrder.erase(found);
    });
}

} // namespace lacewingmux
