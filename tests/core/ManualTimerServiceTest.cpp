#include "lacewingmux_core/time/ManualTimerService.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

Test(ManualTimerService, firesInOrderOfTheirTime)
{
    ManualTimerService timers;
    std::vector<int> fired;
    const auto late = timers.after(20ms, [&fired] { fired.push_back(2); });
    const auto early = timers.after(10ms, [&fired] { fired.push_back(1); });
    timers.advance(30ms);
    cr_assert(fired == std::vector<int>({1, 2}));
}

Test(ManualTimerService, cancelledTimerNeverFires)
{
    ManualTimerService timers;
    int fired = 0;
    auto subscription = timers.every(10ms, [&fired] { ++fired; });
    timers.advance(25ms);
    subscription.cancel();
    timers.advance(100ms);
    cr_assert_eq(fired, 2);
}
