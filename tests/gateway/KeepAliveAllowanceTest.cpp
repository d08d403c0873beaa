#include "lacewingmux_gateway/forwarding/KeepAliveAllowance.h"

#include <QByteArray>

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

Test(keep_alive_allowance, suffices_for_comments_of_a_stream_that_lasts_a_day)
{
    KeepAliveAllowance allowance;
    const QByteArray comment = ": " + QByteArray(96, 'x') + "\n\n";
    constexpr std::chrono::hours day{24};
    for (milliseconds age{0}; age < day; age += milliseconds(100))
        cr_assert(allowance.take(comment.size(), age));
}

Test(keep_alive_allowance, suffices_for_the_comments_of_a_minute_that_arrive_together)
{
    KeepAliveAllowance allowance;
    cr_assert(allowance.take(qsizetype{600} * 100, milliseconds(0)));
}

Test(keep_alive_allowance, ends_a_flood)
{
    KeepAliveAllowance allowance;
    cr_assert(!allowance.take(qsizetype{1024} * 1024, milliseconds(1000)));
}
