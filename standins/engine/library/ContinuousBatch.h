#pragma once

#include "engine/library/EngineSettings.h"
#include "engine/library/PrefixCache.h"
#include "engine/library/Sequence.h"

#include <QTimer>

#include <memory>
#include <vector>

namespace lacewingmux::standin {

/**
    Continuous batching in simple form: each step gives every running sequence one token and lets
    waiting ones in, highest priority first. A step takes longer with more sequences and with
    prompt tokens to compute that the prefix cache lacks.
*/
class ContinuousBatch
{
public:
    ContinuousBatch(const EngineSettings &engineSettings, PrefixCache &prefixCache);
    ContinuousBatch(const ContinuousBatch &) = delete;
    ContinuousBatch &operator=(const ContinuousBatch &) = delete;

    /** Takes a sequence; it waits until there is room. */
    void add(const std::shared_ptr<Sequence> &sequence);

    /** Ends a waiting or running sequence; returns false when there is none with the id. */
    bool cancel(const QString &requestId);

    /** Ends all sequences of the program. */
    void cancelProgram(const QString &program);

    /** Multiplies the time of each step. */
    void setSlowFactor(int factor);

    /** Stops or goes on advancing. */
    void setHanging(bool hanging);

    /** Forgets all sequences, as a process does that dies. */
    void clear();

    [[nodiscard]] int running() const;
    [[nodiscard]] int waiting() const;

private:
    void schedule();
    void step();
    std::int64_t admitWaiting();
    void finish(const std::shared_ptr<Sequence> &sequence);

    EngineSettings settings;
    PrefixCache &cache;
    QTimer timer;
    int slowFactor = 1;
    bool isHanging = false;
    std::vector<std::shared_ptr<Sequence>> runningSequences;
    std::vector<std::shared_ptr<Sequence>> waitingSequences;
};

} // namespace lacewingmux::standin
