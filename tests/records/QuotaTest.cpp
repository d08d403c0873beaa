#include "lacewingmux_records/quota/QuotaLease.h"
#include "lacewingmux_records/quota/QuotaTokenBucket.h"
#include "lacewingmux_records/quota/QuotaTokenCache.h"

#include <criterion/criterion.h>

#include <random>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const TimerService::SteadyTime start{std::chrono::seconds(1000)};

VmIncarnation member(std::uint64_t disk)
{
    return {QStringLiteral("r%1").arg(disk), QStringLiteral("zone"), disk};
}

RecordsView viewOfThree()
{
    RecordsView view;
    view.number = 1;
    view.targetSize = 3;
    for (std::uint64_t disk = 1; disk <= 3; ++disk) {
        RecordsMember entry;
        entry.vm.incarnation = member(disk);
        entry.state = MemberState::Synced;
        view.members.push_back(entry);
    }
    return view;
}

} // namespace

Test(quota_token_bucket, starts_with_unspent_tokens_and_never_exceeds_the_burst)
{
    QuotaTokenBucket bucket(0, start);
    bucket.setShare(10, 5, start);
    cr_assert_eq(bucket.take(100, 0, start), 0);
    cr_assert_eq(bucket.take(100, 0, start + milliseconds(300)), 3);
    cr_assert_eq(bucket.take(100, 0, start + std::chrono::seconds(60)), 5);
}

Test(quota_token_bucket, leaves_the_reserve_to_running_programs)
{
    QuotaTokenBucket bucket(0, start);
    bucket.setShare(10, 10, start);
    const auto later = start + std::chrono::seconds(10);
    cr_assert_eq(bucket.take(100, 0.4, later), 6);
    cr_assert_eq(bucket.take(100, 0.4, later), 0);
    cr_assert_eq(bucket.untilNext(0.4, later).count(), 100);
    cr_assert_eq(bucket.take(100, 0, later), 4);
}

Test(quota_token_bucket, never_grants_tokens_below_its_floor)
{
    QuotaTokenBucket bucket(0, start);
    bucket.setShare(100, 100, start);
    auto now = start + std::chrono::seconds(10);
    double onDisk = bucket.raiseFloor(now).value();
    cr_assert_float_eq(onDisk, 55, 1e-6);
    // After a crash at any time, the bucket holds no more tokens than before it.
    double held = 100;
    for (int round = 0; round < 20; ++round) {
        held -= bucket.take(10, 0, now);
        cr_assert_geq(held, onDisk);
        const std::optional<double> lower = bucket.lowerFloor(now);
        if (!lower)
            continue;
        cr_assert(!bucket.lowerFloor(now).has_value(), "one write at a time");
        onDisk = *lower;
        bucket.setFloor(*lower);
    }
    cr_assert_float_eq(held, 0, 1e-6);
}

Test(quota_token_cache, expires_tokens)
{
    QuotaTokenCache cache;
    cache.put(2, start);
    cr_assert(cache.take(start + milliseconds(100)));
    cr_assert(!cache.take(start + milliseconds(500)));
}

Test(quota_token_cache, prefetches_tokens_but_not_on_every_request)
{
    QuotaTokenCache cache;
    cr_assert_eq(cache.wanted(0, start), 0);
    for (int request = 0; request < 100; ++request)
        cache.recordDemand(start + milliseconds(request * 10));
    const auto now = start + std::chrono::seconds(1);
    const int wanted = cache.wanted(0, now);
    cr_assert_geq(wanted, 8);
    cr_assert_leq(wanted, 16);
    cache.put(wanted, now);
    cr_assert(cache.take(now));
    cr_assert_eq(cache.wanted(0, now), 0);
}

// Guards against tokens that expire unused while a team at its limit is refused. The load is that
// of a day without faults on which a team's limit was lowered below its demand: seven entry VMs,
// three records VMs, and requests at random times.
Test(quota_token_cache, wastes_few_tokens_of_a_team_at_its_limit)
{
    constexpr int entryVms = 7;
    constexpr int recordsVms = 3;
    constexpr double requestsPerSecond = 45;
    constexpr double demandPerSecond = 60;
    constexpr int seconds = 60;
    std::mt19937 random(1);
    std::bernoulli_distribution arrives(demandPerSecond / entryVms / 1000);
    std::vector<QuotaTokenCache> caches(entryVms);
    std::vector<QuotaTokenBucket> buckets(recordsVms, QuotaTokenBucket(0, start));
    for (QuotaTokenBucket &bucket : buckets)
        bucket.setShare(requestsPerSecond / recordsVms, requestsPerSecond / recordsVms, start);
    int admitted = 0;
    for (int elapsed = 0; elapsed < seconds * 1000; ++elapsed) {
        const auto now = start + milliseconds(elapsed);
        for (int vm = 0; vm < entryVms; ++vm) {
            if (!arrives(random))
                continue;
            QuotaTokenCache &cache = caches[vm];
            cache.recordDemand(now);
            bool taken = cache.take(now);
            for (int asked = 0; asked < recordsVms && !taken; ++asked) {
                QuotaTokenBucket &bucket = buckets[(vm + asked) % recordsVms];
                cache.put(bucket.take(cache.wanted(1, now), 0, now), now);
                taken = cache.take(now);
            }
            if (taken && cache.wanted(0, now) > 0)
                cache.put(buckets[vm % recordsVms].take(cache.wanted(0, now), 0, now), now);
            admitted += taken ? 1 : 0;
        }
    }
    cr_assert_geq(admitted, 0.97 * requestsPerSecond * seconds, "%d", admitted);
    cr_assert_leq(admitted, requestsPerSecond * (seconds + 1), "%d", admitted);
}

Test(quota_lease, has_an_equal_share_while_a_majority_answers)
{
    QuotaLease lease(member(1));
    lease.setView(viewOfThree(), start);
    cr_assert_float_eq(lease.share(start), 0, 1e-9);
    lease.recordAnswer(member(2), start);
    cr_assert_float_eq(lease.share(start + milliseconds(500)), 1.0 / 3, 1e-9);
    cr_assert_float_eq(lease.share(start + milliseconds(1100)), 0, 1e-9);
}

Test(quota_lease, takes_over_a_silent_members_share_only_when_a_majority_agrees)
{
    QuotaLease lease(member(1));
    lease.setView(viewOfThree(), start);
    const auto now = start + milliseconds(1500);
    lease.recordAnswer(member(2), now);
    lease.recordRequest(member(2), {}, now);
    cr_assert_float_eq(lease.share(now), 1.0 / 3, 1e-9);
    lease.recordRequest(member(2), {3}, now);
    cr_assert_float_eq(lease.share(now), 1.0 / 2, 1e-9);
    lease.recordRequest(member(3), {}, now);
    cr_assert_float_eq(lease.share(now), 1.0 / 3, 1e-9);
}

Test(quota_lease, a_joining_member_has_no_share)
{
    RecordsView view = viewOfThree();
    view.members[0].state = MemberState::Joining;
    QuotaLease joining(member(1));
    joining.setView(view, start);
    joining.recordAnswer(member(2), start);
    joining.recordAnswer(member(3), start);
    cr_assert_float_eq(joining.share(start), 0, 1e-9);
    QuotaLease other(member(2));
    other.setView(view, start);
    other.recordAnswer(member(3), start);
    cr_assert_float_eq(other.share(start), 1.0 / 2, 1e-9);
}
