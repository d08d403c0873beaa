#include "lacewingmux_scheduling/prefixes/PrefixRetention.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QString team = QStringLiteral("team");
const QString route = QStringLiteral("route");

PausedPrefix pausedPrefix(double pressure, bool exportSupported = true)
{
    return {team, route, 4000, pressure, exportSupported};
}

void recordPauses(PrefixRetention &retention, std::chrono::milliseconds pause)
{
    for (int call = 0; call < 100; ++call)
        retention.resumed(team, route, pause);
}

} // namespace

Test(PrefixRetention, keepsBelowThePressureThreshold)
{
    PrefixRetention retention;
    recordPauses(retention, 1h);
    cr_assert(retention.decide(pausedPrefix(0.5)) == RetentionAction::Keep);
}

Test(PrefixRetention, keepsThroughShortPausesUnderPressure)
{
    PrefixRetention retention;
    recordPauses(retention, 500ms);
    cr_assert(retention.decide(pausedPrefix(0.99)) == RetentionAction::Keep);
}

Test(PrefixRetention, exportsThroughLongPausesUnderPressure)
{
    PrefixRetention retention;
    recordPauses(retention, 10min);
    cr_assert(retention.decide(pausedPrefix(0.99)) == RetentionAction::Export);
    cr_assert(retention.decide(pausedPrefix(0.99, false)) == RetentionAction::Drop);
}

Test(PrefixRetention, dropsPrefixesOfProgramsThatRarelyReturn)
{
    PrefixRetention retention;
    recordPauses(retention, 10min);
    for (int call = 0; call < 100; ++call)
        retention.ended(team, route);
    cr_assert(retention.decide(pausedPrefix(0.99)) == RetentionAction::Drop);
}

Test(PauseEstimator, memoryIsBounded)
{
    PauseEstimator estimator(5s, 2);
    estimator.resumed(QStringLiteral("a"), route, 1s);
    estimator.resumed(QStringLiteral("b"), route, 1s);
    for (int call = 0; call < 100; ++call)
        estimator.resumed(QStringLiteral("c"), route, 100s);
    cr_assert_lt(estimator.estimate(QStringLiteral("a"), route).pause.count(), 10000);
    cr_assert_gt(estimator.estimate(QStringLiteral("c"), route).pause.count(), 90000);
}
