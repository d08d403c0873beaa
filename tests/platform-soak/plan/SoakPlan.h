#pragma once

#include "plan/PlanStep.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace lacewingmux::soak {

struct SoakSettings;

/** What is done to a fleet in a run, drawn from the run's seed. */
class SoakPlan
{
public:
    /** How the replicas of one service take connections. */
    struct ReplicaLimits
    {
        QByteArray service;
        int backlog = 128;
        int connectionLimit = 360;
        std::chrono::milliseconds idleTimeout{10000};
        bool closesAtDeadline = false; ///< in order; otherwise a run at its deadline is reset
        int stutterPercent = 0;        ///< of the answers while the service stutters
    };

    explicit SoakPlan(const SoakSettings &settings);

    /** Returns the steps in the order of their times. */
    [[nodiscard]] const std::vector<PlanStep> &steps() const noexcept
    {
        return this->planned;
    }

    [[nodiscard]] const std::vector<ReplicaLimits> &replicaLimits() const noexcept
    {
        return this->limits;
    }

    /** Returns the names of all services. */
    [[nodiscard]] static const std::vector<QByteArray> &services();

private:
    void drawLimits();
    void drawSilences(std::chrono::milliseconds end);
    void drawPauses(std::chrono::milliseconds end, int vmCount);
    /** Comes behind the others: the other steps of a seed are the same without it. */
    void drawStutters(std::chrono::milliseconds end);
    void drawCuts(std::chrono::milliseconds end, int vmCount);
    void drawStops(std::chrono::milliseconds end, int vmCount);
    [[nodiscard]] PlanStep drawSilence(std::chrono::milliseconds at);
    [[nodiscard]] int draw(int least, int most);

    std::mt19937 random;
    std::vector<ReplicaLimits> limits;
    std::vector<PlanStep> planned;
};

} // namespace lacewingmux::soak
