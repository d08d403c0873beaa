#include "lacewingmux_records/members/SilenceAgreement.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

VmIncarnation vm(int number)
{
    return {QStringLiteral("r%1").arg(number), QStringLiteral("zone"),
            static_cast<std::uint64_t>(number)};
}

/** Returns a group whose first members are synced, and whose last ones are joining. */
RecordsView groupOf(int synced, int joining, int toleratedDisks)
{
    RecordsView view;
    view.number = 1;
    view.toleratedDisks = toleratedDisks;
    view.targetSize = 2 * toleratedDisks + 1;
    for (int number = 1; number <= synced + joining; ++number) {
        RecordsMember member;
        member.vm.incarnation = vm(number);
        member.state = number <= synced ? MemberState::Synced : MemberState::Joining;
        view.members.push_back(member);
    }
    return view;
}

constexpr milliseconds recent{300};
constexpr int silent = 1;
constexpr int self = 2;

/** Returns whether the place of the first member is lost when the given others report it. */
bool isLost(const RecordsView &view, std::initializer_list<int> reporters,
            milliseconds reportAge = recent)
{
    const SilenceAgreement::SteadyTime start{std::chrono::hours(1)};
    SilenceAgreement agreement(vm(self));
    agreement.setView(view, start);
    for (const int reporter : reporters)
        agreement.recordRequest(vm(reporter), {silent}, start);
    return agreement.isPlaceLost(vm(silent), start + reportAge);
}

} // namespace

Test(silence_agreement, needs_all_places_but_the_tolerated_ones)
{
    const RecordsView withStandby = groupOf(3, 1, 1);
    cr_assert(isLost(withStandby, {3, 4}));
    cr_assert_not(isLost(withStandby, {4}), "a standby has no place");
    cr_assert(isLost(groupOf(5, 1, 2), {3, 4, 6}));
    cr_assert_not(isLost(groupOf(5, 1, 2), {3, 6}));
}

Test(silence_agreement, needs_a_joining_member_that_can_take_the_place)
{
    cr_assert_not(isLost(groupOf(3, 0, 1), {3}));
    cr_assert_not(isLost(groupOf(3, 1, 1), {3}), "the joining member is silent itself");
}

// Guards against two majorities: two of three synced members could serve without this one.
Test(silence_agreement, needs_half_of_the_members_with_all_reservations)
{
    cr_assert(isLost(groupOf(2, 2, 1), {3, 4}));
    const RecordsView view = groupOf(3, 2, 2);
    cr_assert_not(isLost(view, {4, 5}),
                  "the third synced member and the silent one are a majority");
    cr_assert(isLost(view, {3, 4}));
}

Test(silence_agreement, counts_recent_reports_under_the_present_view_only)
{
    const RecordsView view = groupOf(3, 1, 1);
    cr_assert(isLost(view, {3, 4}, milliseconds(600)));
    cr_assert_not(isLost(view, {3, 4}, milliseconds(601)));
    const SilenceAgreement::SteadyTime start{std::chrono::hours(1)};
    SilenceAgreement agreement(vm(self));
    agreement.setView(view, start);
    agreement.recordRequest(vm(3), {silent}, start);
    agreement.recordRequest(vm(4), {silent}, start);
    agreement.setView(view, start);
    cr_assert_not(agreement.isPlaceLost(vm(silent), start));
    cr_assert(agreement.lastRequestAt(vm(3)) == start, "its request counts all the same");
}

Test(silence_agreement, is_decided_by_synced_members_about_others)
{
    RecordsView view = groupOf(3, 1, 1);
    view.members[self - 1].state = MemberState::Leaving;
    cr_assert_not(isLost(view, {3, 4}));
    view = groupOf(3, 2, 1);
    const SilenceAgreement::SteadyTime start{std::chrono::hours(1)};
    SilenceAgreement agreement(vm(self));
    agreement.setView(view, start);
    for (const int reporter : {1, 3, 4})
        agreement.recordRequest(vm(reporter), {5}, start);
    cr_assert_not(agreement.isPlaceLost(vm(5), start), "a joining member has no place to lose");
}
