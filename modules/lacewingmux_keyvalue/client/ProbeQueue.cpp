#include "lacewingmux_keyvalue/client/ProbeQueue.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// Intervals between the starts of two probes; the actual ones are between half of them and all.
constexpr milliseconds firstQuickInterval{150};
constexpr milliseconds longestQuickInterval{400};
constexpr milliseconds firstRelaxedInterval{300};
// With a round trip it stays below the second in which a VM must detect that the store serves it.
constexpr milliseconds longestRelaxedInterval{900};

constexpr double shareOfShortProbes = 0.5;

// A relay probes at most 400 ms after the store's return and tells its subscribers immediately. The
// sum stays below the 1.1 s in which a VM must find out what has left meanwhile.
constexpr milliseconds shortestDelayAfterReturn{300};
constexpr milliseconds longestDelayAfterReturn{600};

} // namespace

ProbeQueue::Place::Place(ProbeQueue &probeQueue, std::function<void()> startProbe)
    : queue(probeQueue)
    , start(std::move(startProbe))
{ }

ProbeQueue::Place::~Place()
{
    this->queue.leave(this);
}

bool ProbeQueue::Place::isProbing() const noexcept
{
    return this->queue.probing == this;
}

ProbeQueue::ProbeQueue(TimerService &timerService, std::function<double()> randomFunction)
    : timers(timerService)
    , random(std::move(randomFunction))
    , backoff(backoffFor(pace))
    , nextStart(timers.now())
{ }

std::unique_ptr<ProbeQueue::Place> ProbeQueue::join(std::function<void()> startProbe)
{
    auto place = std::make_unique<Place>(*this, std::move(startProbe));
    this->waiting.push_back(place.get());
    this->schedule();
    return place;
}

void ProbeQueue::setPace(ProbePace newPace)
{
    if (std::exchange(this->pace, newPace) == newPace)
        return;
    this->backoff = backoffFor(newPace);
    if (newPace == ProbePace::Quick) {
        this->nextStart =
                std::min(this->nextStart, this->timers.now() + this->backoff.next(this->random()));
        this->schedule();
    }
}

void ProbeQueue::restartAfterFailure()
{
    this->backoff.reset();
    this->nextStart = this->timers.now() + this->backoff.next(this->random());
    this->schedule();
}

void ProbeQueue::restartNow()
{
    this->backoff.reset();
    this->nextStart = this->timers.now();
    this->schedule();
}

milliseconds ProbeQueue::delayAfterReturn() const
{
    if (this->pace == ProbePace::Quick)
        return milliseconds(0);
    const milliseconds range = longestDelayAfterReturn - shortestDelayAfterReturn;
    return shortestDelayAfterReturn
           + std::chrono::duration_cast<milliseconds>(range * this->random());
}

void ProbeQueue::leave(const Place *place)
{
    if (this->probing == place)
        this->probing = nullptr;
    else
        std::erase(this->waiting, place);
    this->schedule();
}

void ProbeQueue::schedule()
{
    if (this->probing != nullptr || this->waiting.empty()) {
        this->startTimer.cancel();
        return;
    }
    const auto delay = std::chrono::ceil<milliseconds>(this->nextStart - this->timers.now());
    this->startTimer =
            this->timers.after(std::max(delay, milliseconds(0)), [this] { this->startNext(); });
}

void ProbeQueue::startNext()
{
    this->probing = this->waiting.front();
    this->waiting.pop_front();
    this->nextStart = this->timers.now() + this->backoff.next(this->random());
    // Drawn: if they alternated, one of two watches would make all the short ones.
    this->shortProbe = this->random() < shareOfShortProbes;
    // The place may be destroyed within its function.
    const std::function<void()> start = this->probing->start;
    start();
}

JitteredBackoff ProbeQueue::backoffFor(ProbePace pace)
{
    return pace == ProbePace::Quick ? JitteredBackoff(firstQuickInterval, longestQuickInterval)
                                    : JitteredBackoff(firstRelaxedInterval, longestRelaxedInterval);
}

} // namespace lacewingmux
