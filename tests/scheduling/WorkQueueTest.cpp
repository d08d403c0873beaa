#include "lacewingmux_scheduling/queue/WorkQueue.h"
#include "lacewingmux_scheduling/naive/FirstComeFirstServedQueue.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <set>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const TimerService::SteadyTime start{1000s};

WorkItem makeItem(std::uint64_t id, const QString &team, std::int64_t attained = 0)
{
    WorkItem item;
    item.id = id;
    item.team = team;
    item.attainedTokens = attained;
    item.expectedTokens = 100;
    return item;
}

std::uint64_t takeNext(WorkQueue &queue)
{
    const std::uint64_t id = queue.next()->id;
    cr_assert(queue.take(id));
    return id;
}

} // namespace

Test(WorkQueue, servesTheProgramWithLeastAttainedServiceFirst)
{
    WorkQueue queue;
    queue.push(makeItem(1, QStringLiteral("a"), 5000), start);
    queue.push(makeItem(2, QStringLiteral("a"), 10), start);
    cr_assert_eq(takeNext(queue), 2);
    cr_assert_eq(takeNext(queue), 1);
}

Test(WorkQueue, ageingBoundsHowLongALongProgramIsOvertaken)
{
    WorkQueueSettings settings;
    settings.ageingTokensPerSecond = 100;
    WorkQueue queue(settings);
    queue.push(makeItem(1, QStringLiteral("a"), 1000), start);
    queue.push(makeItem(2, QStringLiteral("a"), 0), start + 9s);
    queue.push(makeItem(3, QStringLiteral("a"), 0), start + 11s);
    cr_assert_eq(takeNext(queue), 2);
    cr_assert_eq(takeNext(queue), 1);
}

Test(WorkQueue, sharesByWeightWhileTeamsStayBacklogged)
{
    WorkQueue queue;
    for (std::uint64_t id = 0; id < 300; ++id) {
        WorkItem item = makeItem(id, id < 200 ? QStringLiteral("heavy") : QStringLiteral("light"));
        item.teamWeight = id < 200 ? 2 : 1;
        queue.push(item, start);
    }
    std::map<bool, int> served;
    for (int taken = 0; taken < 150; ++taken)
        ++served[takeNext(queue) < 200];
    cr_assert_leq(std::abs(served[true] - 100), 2);
}

Test(WorkQueue, aBacklogOfOneTeamDelaysAnotherByAtMostOneCallPerTeam)
{
    WorkQueue queue;
    for (std::uint64_t id = 0; id < 1000; ++id)
        queue.push(makeItem(id, QStringLiteral("flood")), start);
    for (int taken = 0; taken < 100; ++taken)
        takeNext(queue);
    queue.push(makeItem(5000, QStringLiteral("calm")), start + 1s);
    const std::uint64_t first = takeNext(queue);
    const std::uint64_t second = takeNext(queue);
    cr_assert(first == 5000 || second == 5000);
}

Test(WorkQueue, settleChargesTheActualCostOfACall)
{
    WorkQueue queue;
    const WorkItem costly = makeItem(1, QStringLiteral("a"));
    queue.push(costly, start);
    queue.push(makeItem(2, QStringLiteral("a")), start);
    queue.push(makeItem(3, QStringLiteral("b")), start);
    queue.push(makeItem(4, QStringLiteral("b")), start);
    queue.push(makeItem(5, QStringLiteral("b")), start);
    cr_assert_eq(takeNext(queue), 1);
    queue.settle(costly, 250);
    cr_assert_eq(takeNext(queue), 3);
    cr_assert_eq(takeNext(queue), 4);
    cr_assert_eq(takeNext(queue), 5);
    cr_assert_eq(takeNext(queue), 2);
}

Test(WorkQueue, refusesADuplicateAndAWeightOfZero)
{
    WorkQueue queue;
    queue.push(makeItem(1, QStringLiteral("a")), start);
    cr_assert_throw(queue.push(makeItem(1, QStringLiteral("b")), start), std::invalid_argument);
    WorkItem weightless = makeItem(2, QStringLiteral("a"));
    weightless.teamWeight = 0;
    cr_assert_throw(queue.push(weightless, start), std::invalid_argument);
    cr_assert_eq(queue.size(), 1);
    cr_assert_not(queue.take(9));
    cr_assert_not(queue.remove(9));
}

Test(WorkQueue, servesEveryItemThatTheBaselineServesExactlyOnce)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        WorkQueue queue;
        FirstComeFirstServedQueue naive;
        std::set<std::uint64_t> served;
        std::set<std::uint64_t> naiveServed;
        std::uint64_t nextId = 1;
        for (int step = 0; step < 3000; ++step) {
            const auto now = start + std::chrono::milliseconds(step * 10);
            if (random() % 2 == 0) {
                const WorkItem item = makeItem(nextId++, QString::number(random() % 5),
                                               static_cast<std::int64_t>(random() % 10000));
                queue.push(item, now);
                naive.push(item);
            } else if (naive.size() > 0) {
                cr_assert_not_null(queue.next(), "not work conserving, seed %lu", seed);
                served.insert(takeNext(queue));
                naiveServed.insert(naive.next()->id);
                naive.take(naive.next()->id);
            }
            cr_assert_eq(queue.size(), naive.size(), "seed %lu", seed);
        }
        while (queue.next())
            cr_assert(served.insert(takeNext(queue)).second, "served twice, seed %lu", seed);
        while (naive.next()) {
            naiveServed.insert(naive.next()->id);
            naive.take(naive.next()->id);
        }
        cr_assert(served == naiveServed, "seed %lu", seed);
    }
}

Test(WorkQueue, keepsTheBoundOfStartTimeFairQueueing)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        WorkQueue queue;
        std::map<QString, double> servedTokens;
        std::map<std::uint64_t, WorkItem> items;
        std::uint64_t nextId = 1;
        for (int team = 0; team < 4; ++team) {
            for (int call = 0; call < 400; ++call) {
                WorkItem item = makeItem(nextId++, QString::number(team));
                item.teamWeight = 1 + team;
                item.expectedTokens = 1 + static_cast<std::int64_t>(random() % 500);
                items.emplace(item.id, item);
                queue.push(item, start);
            }
        }
        for (int taken = 0; taken < 300; ++taken) {
            const WorkItem item = items.at(takeNext(queue));
            servedTokens[item.team] += static_cast<double>(item.expectedTokens) / item.teamWeight;
            double least = 1e18;
            double most = 0;
            for (int team = 0; team < 4; ++team) {
                least = std::min(least, servedTokens[QString::number(team)]);
                most = std::max(most, servedTokens[QString::number(team)]);
            }
            // The weighted service of two backlogged teams differs by at most one call of each.
            cr_assert_leq(most - least, 2 * 500.0, "seed %lu", seed);
        }
    }
}

Test(WorkQueue, aTeamThatUsesItsShareInFullYieldsAtTheEngine)
{
    WorkQueue queue;
    queue.push(makeItem(1, QStringLiteral("a")), start);
    queue.push(makeItem(2, QStringLiteral("a")), start);
    cr_assert_eq(takeNext(queue), 1);
    cr_assert_gt(queue.enginePriority(QStringLiteral("a")),
                 queue.enginePriority(QStringLiteral("b")));
    cr_assert_eq(takeNext(queue), 2);
    cr_assert_eq(queue.enginePriority(QStringLiteral("a")),
                 queue.enginePriority(QStringLiteral("b")));
}
