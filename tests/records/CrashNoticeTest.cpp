#include "lacewingmux_records/messages/RecordsCodec.h"

#include "lacewingmux_core/protection/Quarantine.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

Test(crash_notice, keeps_the_ages_of_the_run_and_of_the_crash)
{
    const CrashCoincidence sent{"digest", QStringLiteral("i-1/5"), milliseconds(700),
                                milliseconds(120), "turn"};
    const auto received = RecordsCodec::decodeCrash(RecordsCodec::encodeCrash(sent));
    cr_assert(received.has_value());
    cr_assert(received->contentDigest == sent.contentDigest && received->crash == sent.crash);
    cr_assert(received->sinceSent == sent.sinceSent && received->sinceCrash == sent.sinceCrash);
    cr_assert(received->turnDigest == sent.turnDigest);
}

Test(crash_notice, states_no_age_that_is_impossible)
{
    const CrashCoincidence sent{"digest", QStringLiteral("i-1/5"), milliseconds::max(),
                                milliseconds::min()};
    const auto received = RecordsCodec::decodeCrash(RecordsCodec::encodeCrash(sent));
    cr_assert(received.has_value());
    cr_assert(received->sinceSent == std::chrono::minutes(10));
    cr_assert(received->sinceCrash == milliseconds(0));
}
