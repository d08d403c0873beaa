#include "support/PacedReplay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>

using namespace lacewingmux;

namespace {

constexpr double calmTurnsPerSecond = 45; // about half of what the four replicas sustain
// The stated target: the busiest replica's mean load as a multiple of the mean of all.
constexpr double maximumWorstLoad = 1.3;

ReplayScenario fourReplicas(std::uint32_t seed, double turnsPerSecond)
{
    ReplayScenario scenario;
    scenario.speeds = {0.55, 1.2, 1.2, 1.2};
    scenario.seed = seed;
    scenario.turnsPerSecond = turnsPerSecond;
    return scenario;
}

/** Returns a deployment in which each scheduler gets few responses of each replica. */
ReplayScenario largeFleet()
{
    ReplayScenario scenario;
    constexpr int replicaCount = 48;
    for (int number = 0; number < replicaCount; ++number)
        scenario.speeds.push_back(0.55 + 0.65 * ((number * 29) % replicaCount) / replicaCount);
    scenario.schedulers = 74;
    scenario.turnsPerSecond = 650;
    scenario.seconds = 25;
    return scenario;
}

/** The means over several seeds, so that a test does not depend on the chance of one. */
struct Means
{
    double completion = 0;
    double worstLoad = 0;
};

Means meansOf(ReplayScenario scenario, ReplayRule rule)
{
    constexpr int seeds = 4;
    Means means;
    for (int number = 0; number < seeds; ++number) {
        const ReplayResult result = PacedReplay(scenario, rule).run();
        means.completion += result.meanCompletion / seeds;
        means.worstLoad += result.worstLoad() / seeds;
        ++scenario.seed;
    }
    return means;
}

int sentBetween(const ReplayResult &result, std::size_t replica, int firstSecond, int lastSecond)
{
    const std::vector<int> &sent = result.sentInSecond[replica];
    return std::accumulate(sent.begin() + firstSecond, sent.begin() + lastSecond, 0);
}

} // namespace

// Guards against schedulers that all avoid a slow replica and overload the others, or use it like
// the others although its turns take twice as long.
Test(paced_replicas, calm_load_is_spread_and_turns_complete_sooner_than_before)
{
    const ReplayScenario scenario = fourReplicas(1, calmTurnsPerSecond);
    const Means pace = meansOf(scenario, ReplayRule::Pace);
    const Means ownCalls = meansOf(scenario, ReplayRule::OwnCalls);
    const Means loadReports = meansOf(scenario, ReplayRule::LoadReports);
    cr_assert_leq(pace.worstLoad, maximumWorstLoad, "%.2f", pace.worstLoad);
    cr_assert_lt(pace.completion, ownCalls.completion, "%.1f and %.1f ms", pace.completion,
                 ownCalls.completion);
    cr_assert_lt(pace.completion, loadReports.completion, "%.1f and %.1f ms", pace.completion,
                 loadReports.completion);
}

// Guards against schedulers with the same reports that send their calls to the same replica, which
// shows when the replicas are nearly full.
Test(paced_replicas, high_load_completes_sooner_than_before)
{
    const ReplayScenario scenario = fourReplicas(1, 1.6 * calmTurnsPerSecond);
    const Means pace = meansOf(scenario, ReplayRule::Pace);
    const Means ownCalls = meansOf(scenario, ReplayRule::OwnCalls);
    const Means loadReports = meansOf(scenario, ReplayRule::LoadReports);
    cr_assert_leq(pace.worstLoad, maximumWorstLoad, "%.2f", pace.worstLoad);
    cr_assert_lt(pace.completion, ownCalls.completion, "%.1f and %.1f ms", pace.completion,
                 ownCalls.completion);
    cr_assert_lt(pace.completion, loadReports.completion, "%.1f and %.1f ms", pace.completion,
                 loadReports.completion);
}

// Guards against a busiest replica that has far more than its share while there is little to do.
Test(paced_replicas_at_a_third, load_is_spread)
{
    const ReplayScenario scenario = fourReplicas(1, calmTurnsPerSecond * 2 / 3);
    const Means pace = meansOf(scenario, ReplayRule::Pace);
    cr_assert_leq(pace.worstLoad, maximumWorstLoad, "%.3f", pace.worstLoad);
}

// Guards against a busiest replica that has far more than its share in a large deployment.
Test(paced_replicas_of_a_fleet, load_is_spread)
{
    const ReplayResult pace = PacedReplay(largeFleet(), ReplayRule::Pace).run();
    cr_assert_leq(pace.worstLoad(), maximumWorstLoad, "%.3f", pace.worstLoad());
}

// Guards against a rule that needs more responses than a front of a real deployment gets: each of
// 74 fronts receives a report of each of 48 replicas about once in 5 s.
Test(paced_replicas, many_schedulers_with_few_responses_each_do_better_than_before)
{
    const ReplayScenario scenario = largeFleet();
    const ReplayResult pace = PacedReplay(scenario, ReplayRule::Pace).run();
    const ReplayResult ownCalls = PacedReplay(scenario, ReplayRule::OwnCalls).run();
    const ReplayResult loadReports = PacedReplay(scenario, ReplayRule::LoadReports).run();
    cr_assert_lt(pace.meanCompletion, ownCalls.meanCompletion, "%.1f and %.1f ms",
                 pace.meanCompletion, ownCalls.meanCompletion);
    cr_assert_lt(pace.meanCompletion, loadReports.meanCompletion, "%.1f and %.1f ms",
                 pace.meanCompletion, loadReports.meanCompletion);
}

// Guards against a replica that is avoided for good after it was slow for some seconds.
Test(paced_replicas, a_replica_that_recovers_is_used_again)
{
    constexpr int slowFrom = 15;
    constexpr int slowUntil = 25;
    ReplayScenario scenario = fourReplicas(1, calmTurnsPerSecond);
    scenario.speeds = {1.0, 1.0, 1.0, 1.0};
    scenario.seconds = 90;
    scenario.slowness = [](std::size_t replica, int milliseconds) {
        const int second = milliseconds / 1000;
        return replica == 1 && second >= slowFrom && second < slowUntil ? 3.0 : 1.0;
    };
    const ReplayResult result = PacedReplay(scenario, ReplayRule::Pace).run();
    const double usual = sentBetween(result, 1, 5, slowFrom) / 10.0;
    const double slow = sentBetween(result, 1, slowFrom + 3, slowUntil) / 7.0;
    const double recovered = sentBetween(result, 1, 60, 90) / 30.0;
    cr_assert_lt(slow, 0.6 * usual, "%.1f of %.1f turns a second", slow, usual);
    cr_assert_gt(recovered, 0.7 * usual, "%.1f of %.1f turns a second", recovered, usual);
}

// Guards against missing or old reports that send the calls to a replica that looks idle.
Test(paced_replicas, lost_and_late_reports_change_little)
{
    ReplayScenario scenario = fourReplicas(1, calmTurnsPerSecond);
    const Means ownCalls = meansOf(scenario, ReplayRule::OwnCalls);
    scenario.lostReports = 0.3;
    scenario.lateReports = 0.3;
    const Means faulty = meansOf(scenario, ReplayRule::Pace);
    cr_assert_leq(faulty.worstLoad, maximumWorstLoad, "%.2f", faulty.worstLoad);
    cr_assert_lt(faulty.completion, ownCalls.completion, "%.1f and %.1f ms", faulty.completion,
                 ownCalls.completion);
}
