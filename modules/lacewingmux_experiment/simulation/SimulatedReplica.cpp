#include "lacewingmux_experiment/simulation/SimulatedReplica.h"

#include <algorithm>
#include <utility>

namespace lacewingmux::experiment {

namespace {

constexpr std::int64_t prefillChunkTokens = 512; ///< computed in one step at most

} // namespace

SimulatedReplica::SimulatedReplica(QString replicaName, QString zoneName, const PoolSpec &poolSpec,
                                   EventQueue &eventQueue)
    : ownName(std::move(replicaName))
    , ownZone(std::move(zoneName))
    , pool(poolSpec)
    , events(eventQueue)
{ }

void SimulatedReplica::submit(ReplicaCall call)
{
    this->waiting.push_back(std::move(call));
    if (!this->stepping)
        this->startStep();
}

void SimulatedReplica::drop(ProgramNumber program)
{
    this->cache.take(program);
}

void SimulatedReplica::crash()
{
    if (!this->up)
        return;
    this->up = false;
    ++this->starts;
    std::vector<ReplicaCall> lost;
    for (Sequence &sequence : this->running)
        lost.push_back(std::move(sequence.call));
    for (ReplicaCall &call : this->waiting)
        lost.push_back(std::move(call));
    this->running.clear();
    this->waiting.clear();
    this->cache.clear();
    this->runningTokens = 0;
    this->stepping = false;
    for (const ReplicaCall &call : lost)
        call.broken();
    this->crashed();
}

void SimulatedReplica::restart()
{
    this->up = true;
}

void SimulatedReplica::setSlowness(double factor)
{
    this->slowness = factor;
}

int SimulatedReplica::sequences() const
{
    return static_cast<int>(this->running.size() + this->waiting.size());
}

double SimulatedReplica::memoryPressure() const
{
    return static_cast<double>(this->runningTokens + this->cache.size())
           / static_cast<double>(this->pool.prefixMemoryTokens);
}

void SimulatedReplica::admitWaiting()
{
    while (!this->waiting.empty()
           && this->running.size() < static_cast<std::size_t>(this->pool.capacity)) {
        Sequence sequence;
        const auto first = std::min_element(this->waiting.begin(), this->waiting.end(),
                                            [](const ReplicaCall &left, const ReplicaCall &right) {
                                                return left.priority < right.priority;
                                            });
        sequence.call = std::move(*first);
        this->waiting.erase(first);
        const ReplicaCall &call = sequence.call;
        const std::int64_t held = std::max(this->cache.take(call.program), call.importedTokens);
        sequence.cachedTokens = std::min(held, call.historyTokens);
        this->recomputed += call.historyTokens - sequence.cachedTokens;
        sequence.prefillLeft = call.historyTokens + call.newTokens - sequence.cachedTokens;
        sequence.outputLeft = call.outputTokens;
        this->runningTokens += call.historyTokens + call.newTokens + call.outputTokens;
        const auto place = std::upper_bound(this->running.begin(), this->running.end(), sequence,
                                            [](const Sequence &left, const Sequence &right) {
                                                return left.call.priority < right.call.priority;
                                            });
        this->running.insert(place, std::move(sequence));
    }
    this->fitMemory();
}

void SimulatedReplica::startStep()
{
    this->admitWaiting();
    this->stepping = !this->running.empty();
    if (!this->stepping)
        return;
    std::int64_t budget = prefillChunkTokens;
    std::int64_t decoding = 0;
    for (Sequence &sequence : this->running) {
        sequence.chunk = std::min(budget, sequence.prefillLeft);
        budget -= sequence.chunk;
        decoding += sequence.prefillLeft == 0 ? 1 : 0;
    }
    const std::chrono::microseconds duration =
            this->pool.stepBase + this->pool.stepPerSequence * decoding
            + this->pool.prefillPerToken * (prefillChunkTokens - budget);
    const auto slowed = std::chrono::microseconds(
            static_cast<std::int64_t>(static_cast<double>(duration.count()) * this->slowness));
    const std::uint64_t startOfStep = this->starts;
    this->events.after(slowed, [this, startOfStep] {
        if (startOfStep == this->starts)
            this->endStep();
    });
}

void SimulatedReplica::endStep()
{
    std::vector<Sequence> ended;
    for (Sequence &sequence : this->running) {
        if (sequence.prefillLeft == 0)
            --sequence.outputLeft;
        sequence.prefillLeft -= sequence.chunk;
        sequence.chunk = 0;
        if (sequence.prefillLeft == 0 && sequence.call.poisoned) {
            this->crash();
            return;
        }
    }
    const auto isDone = [](const Sequence &sequence) { return sequence.outputLeft <= 0; };
    const auto firstDone = std::stable_partition(
            this->running.begin(), this->running.end(),
            [&isDone](const Sequence &sequence) { return !isDone(sequence); });
    std::move(firstDone, this->running.end(), std::back_inserter(ended));
    this->running.erase(firstDone, this->running.end());
    for (const Sequence &sequence : ended)
        this->finish(sequence);
    this->startStep();
}

void SimulatedReplica::finish(const Sequence &sequence)
{
    const ReplicaCall &call = sequence.call;
    const std::int64_t tokens = call.historyTokens + call.newTokens + call.outputTokens;
    this->runningTokens -= tokens;
    this->cache.put(call.program, tokens);
    this->fitMemory();
    // The answer travels, so the caller's next step never runs within this one.
    this->events.after(
            std::chrono::milliseconds(1),
            [finished = call.finished, cached = sequence.cachedTokens] { finished(cached); });
}

void SimulatedReplica::fitMemory()
{
    const std::int64_t room =
            std::max<std::int64_t>(0, this->pool.prefixMemoryTokens - this->runningTokens);
    this->cache.shrinkTo(room, this->evicted);
}

} // namespace lacewingmux::experiment
