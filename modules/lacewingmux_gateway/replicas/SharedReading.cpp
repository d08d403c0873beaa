#include "lacewingmux_gateway/replicas/SharedReading.h"

#include <utility>

namespace lacewingmux {

namespace {

// Of full reads, by all connections together; keeps a turn in the range of a few milliseconds.
constexpr int maximumReadsOfTurn = 4;

} // namespace

SharedReading::SharedReading(TimerService &timerService)
    : timers(timerService)
{ }

void SharedReading::read(std::function<void()> reader)
{
    this->expectNextTurn();
    if (!this->waiting.empty() || this->readsOfTurn >= maximumReadsOfTurn) {
        this->waiting.push_back(std::move(reader));
        return;
    }
    ++this->readsOfTurn;
    reader();
}

void SharedReading::beginTurn()
{
    this->expectsTurn = false;
    this->readsOfTurn = 0;
    while (!this->waiting.empty() && this->readsOfTurn < maximumReadsOfTurn) {
        const std::function<void()> reader = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->expectNextTurn();
        ++this->readsOfTurn;
        reader();
    }
}

void SharedReading::expectNextTurn()
{
    if (std::exchange(this->expectsTurn, true))
        return;
    this->timers.post([weakSelf = this->weak_from_this()] {
        if (const auto self = weakSelf.lock())
            self->beginTurn();
    });
}

} // namespace lacewingmux
