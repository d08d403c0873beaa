#include "lacewingmux_scheduling/naive/FirstComeFirstServedQueue.h"

namespace lacewingmux {

void FirstComeFirstServedQueue::push(const WorkItem &item)
{
    this->items.emplace(++this->arrivals, item);
    this->arrivalById.emplace(item.id, this->arrivals);
}

const WorkItem *FirstComeFirstServedQueue::next() const
{
    return this->items.empty() ? nullptr : &this->items.begin()->second;
}

bool FirstComeFirstServedQueue::take(std::uint64_t id)
{
    const auto found = this->arrivalById.find(id);
    if (found == this->arrivalById.end())
        return false;
    this->items.erase(found->second);
    this->arrivalById.erase(found);
    return true;
}

} // namespace lacewingmux
