#include "lacewingmux_tunnel/client/TunnelDirectory.h"

#include "lacewingmux_tunnel/client/TunnelUse.h"

#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const TimerService::SteadyTime start{std::chrono::seconds(1000)};

TunnelEndpoint vm(const char *name, const char *zone)
{
    return {QString::fromLatin1(name), zone, QHostAddress(QHostAddress::LocalHost), 1};
}

} // namespace

Test(tunnel_directory, spreads_tunnels_over_all_vms)
{
    TunnelDirectory directory("a", 1);
    directory.setEndpoints({vm("1", "a"), vm("2", "b"), vm("3", "c")});
    std::vector<std::shared_ptr<const TunnelUse>> uses;
    std::multiset<QString> used;
    for (int number = 0; number < 9; ++number) {
        uses.push_back(directory.take(start));
        used.insert(uses.back()->endpoint().vm);
    }
    for (const char *name : {"1", "2", "3"})
        cr_assert_eq(used.count(QString::fromLatin1(name)), 3);
}

Test(tunnel_directory, prefers_the_own_zone_among_equals)
{
    TunnelDirectory directory("b", 1);
    directory.setEndpoints({vm("1", "a"), vm("2", "b"), vm("3", "c")});
    cr_assert(directory.take(start)->endpoint().zone == "b");
    cr_assert(directory.take(start)->endpoint().zone == "b", "the first use has ended");
}

Test(tunnel_directory, lets_vms_that_lost_their_links_together_use_different_tunnel_vms)
{
    std::set<QString> used;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        TunnelDirectory directory("z", seed);
        directory.setEndpoints({vm("1", "a"), vm("2", "b"), vm("3", "c")});
        used.insert(directory.take(start)->endpoint().vm);
    }
    cr_assert_eq(used.size(), 3);
}

Test(tunnel_directory, skips_a_vm_that_failed_for_a_while)
{
    TunnelDirectory directory("a", 1);
    directory.setEndpoints({vm("1", "a"), vm("2", "b")});
    directory.recordUnavailable(QStringLiteral("1"), start);
    cr_assert(directory.take(start)->endpoint().vm == QStringLiteral("2"));
    directory.recordUnavailable(QStringLiteral("2"), start);
    cr_assert_null(directory.take(start));
    cr_assert_not(directory.isAvailable(start));
    cr_assert(directory.isAvailable(start + milliseconds(1500)));
}

Test(tunnel_directory, reuses_no_tunnel_of_a_vm_that_became_unavailable_or_left)
{
    TunnelDirectory directory("a", 1);
    directory.setEndpoints({vm("1", "a")});
    const auto before = directory.take(start);
    cr_assert(directory.isReusable(*before));
    directory.recordUnavailable(QStringLiteral("1"), start);
    cr_assert_not(directory.isReusable(*before));
    const auto after = directory.take(start + milliseconds(1500));
    cr_assert(directory.isReusable(*after));
    directory.setEndpoints({});
    cr_assert_not(directory.isReusable(*after));
}

Test(tunnel_directory, may_end_before_the_uses_of_its_vms)
{
    std::shared_ptr<const TunnelUse> use;
    {
        TunnelDirectory directory("a", 1);
        directory.setEndpoints({vm("1", "a")});
        use = directory.take(start);
    }
    use.reset();
}
