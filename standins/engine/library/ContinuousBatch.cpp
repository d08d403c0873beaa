#include "engine/library/ContinuousBatch.h"

#include <algorithm>

namespace lacewingmux::standin {

ContinuousBatch::ContinuousBatch(const EngineSettings &engineSettings, PrefixCache &prefixCache)
    : settings(engineSettings)
    , cache(prefixCache)
{
    this->timer.setSingleShot(true);
    this->timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&this->timer, &QTimer::timeout, &this->timer, [this] { this->step(); });
}

void ContinuousBatch::add(const std::shared_ptr<Sequence> &sequence)
{
    this->waitingSequences.push_back(sequence);
    this->schedule();
}

bool ContinuousBatch::cancel(const QString &requestId)
{
    const auto hasId = [&requestId](const auto &sequence) {
        return sequence->requestId == requestId;
    };
    for (auto *line : {&this->waitingSequences, &this->runningSequences}) {
        const auto found = std::find_if(line->begin(), line->end(), hasId);
        if (found == line->end())
            continue;
        const auto sequence = *found;
        line->erase(found);
        sequence->cancelled = true;
        sequence->ended();
        return true;
    }
    return false;
}

void ContinuousBatch::cancelProgram(const QString &program)
{
    std::vector<QString> requestIds;
    for (const auto *line : {&this->waitingSequences, &this->runningSequences}) {
        for (const auto &sequence : *line) {
            if (sequence->program == program)
                requestIds.push_back(sequence->requestId);
        }
    }
    for (const QString &requestId : requestIds)
        this->cancel(requestId);
}

void ContinuousBatch::setSlowFactor(int factor)
{
    this->slowFactor = factor;
}

void ContinuousBatch::setHanging(bool hanging)
{
    this->isHanging = hanging;
    this->schedule();
}

void ContinuousBatch::clear()
{
    this->timer.stop();
    this->runningSequences.clear();
    this->waitingSequences.clear();
}

int ContinuousBatch::running() const
{
    return static_cast<int>(this->runningSequences.size());
}

int ContinuousBatch::waiting() const
{
    return static_cast<int>(this->waitingSequences.size());
}

void ContinuousBatch::schedule()
{
    const bool idle = this->runningSequences.empty() && this->waitingSequences.empty();
    if (this->isHanging || idle || this->timer.isActive())
        return;
    const std::int64_t tokensToCompute = this->admitWaiting();
    const auto batch = static_cast<std::int64_t>(this->runningSequences.size());
    const auto duration =
            this->slowFactor
            * (this->settings.stepTime + this->settings.stepTimePerSequence * (batch - 1)
               + this->settings.prefillTimePerToken * tokensToCompute);
    this->timer.start(std::chrono::ceil<std::chrono::milliseconds>(duration));
}

std::int64_t ContinuousBatch::admitWaiting()
{
    std::int64_t tokensToCompute = 0;
    std::stable_sort(
            this->waitingSequences.begin(), this->waitingSequences.end(),
            [](const auto &left, const auto &right) { return left->priority > right->priority; });
    while (!this->waitingSequences.empty()
           && this->runningSequences.size() < this->settings.maxSequences) {
        const auto sequence = this->waitingSequences.front();
        this->waitingSequences.erase(this->waitingSequences.begin());
        sequence->cachedTokens = this->cache.cachedTokens(sequence->blocks);
        tokensToCompute += sequence->prompt.size() - sequence->cachedTokens;
        this->runningSequences.push_back(sequence);
    }
    return tokensToCompute;
}

void ContinuousBatch::step()
{
    if (this->isHanging)
        return;
    const auto batch = this->runningSequences;
    for (const auto &sequence : batch) {
        if (sequence->cancelled)
            continue;
        sequence->output.append(sequence->token(sequence->output.size()));
        sequence->tokenProduced();
        if (sequence->output.size() >= sequence->outputTokens)
            this->finish(sequence);
    }
    this->schedule();
}

void ContinuousBatch::finish(const std::shared_ptr<Sequence> &sequence)
{
    std::erase(this->runningSequences, sequence);
    if (sequence->cancelled)
        return;
    this->cache.store(sequence->program,
                      PrefixCache::blocksOf(sequence->prompt + sequence->output));
    sequence->finished = true;
    sequence->ended();
}

} // namespace lacewingmux::standin
