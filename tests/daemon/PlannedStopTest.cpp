#include "lacewingmux_daemon/assembly/PlannedStop.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_daemon/assembly/TrafficStatus.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
    {
        PlannedStopHooks hooks;
        hooks.becomeUnready = [this] { this->steps.push_back("unready"); };
        hooks.refuseConnections = [this] { this->steps.push_back("refuse"); };
        hooks.leaveView = [this] { this->steps.push_back("leave"); };
        hooks.requestStatus = [this](const auto &answer) { answer(this->status); };
        hooks.stopped = [this](bool whole) { this->complete = whole; };
        this->stop.emplace(this->timers, StopSettings{1000ms, 60000ms}, hooks);
    }

    ManualTimerService timers;
    TrafficStatus status;
    std::vector<std::string> steps;
    std::optional<bool> complete;
    std::optional<PlannedStop> stop;
};

} // namespace

Test(PlannedStop, turnsUnreadyFirstAndLeavesOnlyWhenNothingRuns)
{
    Fixture fixture;
    fixture.status.runningCalls = 1;
    fixture.status.ownerRequests = 1;
    fixture.stop->begin();
    fixture.stop->begin();
    fixture.timers.advance(999ms);
    cr_assert(fixture.steps == std::vector<std::string>({"unready"}));
    fixture.timers.advance(5000ms);
    cr_assert(fixture.steps == std::vector<std::string>({"unready", "refuse"}));

    fixture.status.runningCalls = 0;
    fixture.timers.advance(100ms);
    cr_assert(fixture.steps.back() == "leave");
    fixture.status.drained = true;
    fixture.timers.advance(5000ms);
    cr_assert_not(fixture.complete.has_value(), "a caller still waits for its answer");
    fixture.status.ownerRequests = 0;
    fixture.timers.advance(100ms);
    cr_assert(fixture.complete.value_or(false));
    cr_assert_eq(fixture.steps.size(), 3);
}

Test(PlannedStop, waitsUntilItsSlotsAreActiveElsewhere)
{
    Fixture fixture;
    fixture.stop->begin();
    fixture.timers.advance(10000ms);
    cr_assert(fixture.steps.back() == "leave");
    cr_assert_not(fixture.complete.has_value());
    fixture.status.drained = true;
    fixture.timers.advance(100ms);
    cr_assert(fixture.complete.value_or(false));
}

Test(PlannedStop, saysThatItIsIncompleteWhenItsTimeIsOver)
{
    Fixture fixture;
    fixture.status.runningCalls = 1;
    fixture.stop->begin();
    fixture.timers.advance(60000ms);
    cr_assert(fixture.complete.has_value());
    cr_assert_not(*fixture.complete);
}
