#include "lacewingmux_report/burn/BurnHistory.h"

namespace lacewingmux {

template <std::size_t StepCount>
std::int64_t BurnHistory::Ring<StepCount>::numberOf(Time when) const
{
    return std::chrono::floor<std::chrono::minutes>(when).time_since_epoch() / this->stepLength;
}

template <std::size_t StepCount>
void BurnHistory::Ring<StepCount>::add(std::int64_t number, const BurnCounts &counts)
{
    Step &step = this->steps[static_cast<std::size_t>(number) % StepCount];
    if (step.number > number)
        return;
    if (step.number < number)
        step = Step{number, {}};
    step.counts += counts;
}

template <std::size_t StepCount>
BurnCounts BurnHistory::Ring<StepCount>::sum(Time now, std::chrono::minutes length) const
{
    const std::int64_t last = this->numberOf(now);
    const std::int64_t first = last - length / this->stepLength;
    BurnCounts total;
    for (const Step &step : this->steps) {
        if (step.number >= first && step.number <= last)
            total += step.counts;
    }
    return total;
}

template <std::size_t StepCount>
void BurnHistory::Ring<StepCount>::merge(const Ring &other)
{
    for (const Step &step : other.steps) {
        if (step.number >= 0)
            this->add(step.number, step.counts);
    }
}

void BurnHistory::add(Time when, const BurnCounts &counts)
{
    this->fine.add(this->fine.numberOf(when), counts);
    this->coarse.add(this->coarse.numberOf(when), counts);
}

BurnCounts BurnHistory::sum(Time now, std::chrono::minutes length) const
{
    const bool fitsFine = length <= this->fine.stepLength * (fineSteps - 1);
    return fitsFine ? this->fine.sum(now, length) : this->coarse.sum(now, length);
}

void BurnHistory::merge(const BurnHistory &other)
{
    this->fine.merge(other.fine);
    this->coarse.merge(other.coarse);
}

} // namespace lacewingmux
