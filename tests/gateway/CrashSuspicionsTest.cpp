#include "lacewingmux_gateway/replicas/CrashSuspicions.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const TimerService::SteadyTime start{std::chrono::seconds(1000)};

struct Suspicions
{
    std::vector<CrashCoincidence> told;
    CrashSuspicions crashes{[this](const CrashCoincidence &crash) { this->told.push_back(crash); }};

    void crash(const QByteArray &instance, const QByteArray &digest)
    {
        this->crashes.noteBroken(instance, digest, start);
        this->crashes.noteUnreachable(instance, start + milliseconds(100));
    }
};

} // namespace

Test(crash_suspicions, quarantine_a_request_after_three_crashes)
{
    Suspicions test;
    test.crash("i-1", "bad");
    test.crash("i-2", "bad");
    cr_assert(!test.crashes.isQuarantined("bad", start));
    test.crash("i-3", "bad");
    cr_assert(test.crashes.isQuarantined("bad", start));
    cr_assert(!test.crashes.isQuarantined("other", start));
    cr_assert_eq(test.told.size(), 3);
}

Test(crash_suspicions, count_crashes_that_other_vms_saw)
{
    Suspicions test;
    test.crash("i-1", "bad");
    test.crashes.takeNotice({"bad", QStringLiteral("i-2")}, start);
    test.crashes.takeNotice({"bad", QStringLiteral("i-2")}, start);
    cr_assert(!test.crashes.isQuarantined("bad", start));
    test.crashes.takeNotice({"bad", QStringLiteral("i-3")}, start);
    cr_assert(test.crashes.isQuarantined("bad", start));
    cr_assert_eq(test.told.size(), 1, "what came from others is not told again");
}

Test(crash_suspicions, a_lost_answer_is_no_crash)
{
    Suspicions test;
    for (const char *instance : {"i-1", "i-2", "i-3"}) {
        test.crashes.noteBroken(instance, "unlucky", start);
        test.crashes.noteUnreachable(instance, start + std::chrono::seconds(5));
    }
    cr_assert(!test.crashes.isQuarantined("unlucky", start));
}
