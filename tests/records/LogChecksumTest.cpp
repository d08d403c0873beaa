#include "lacewingmux_records/log/LogChecksum.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

// Logs of earlier versions must stay readable, so the checksum is that of IEEE 802.3.
Test(log_checksum, is_the_same_in_each_version)
{
    cr_assert_eq(logChecksum("123456789"), 0xCBF43926U);
    cr_assert_eq(logChecksum(QByteArray()), 0U);
}
