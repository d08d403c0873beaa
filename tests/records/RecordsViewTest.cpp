#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/members/RecordsMembership.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

VmDescriptor vm(const char *name, std::uint64_t disk)
{
    VmDescriptor made;
    made.incarnation = {QString::fromLatin1(name), QStringLiteral("zone"), disk};
    made.address = QStringLiteral("10.0.0.1");
    made.trafficPort = 7;
    made.hasDataFolder = true;
    return made;
}

RecordsView firstView(int members)
{
    RecordsView view;
    for (int number = 1; number <= members; ++number) {
        const QByteArray name = "r" + QByteArray::number(number);
        view = RecordsMembership::withJoined(
                       view, vm(name.constData(), static_cast<std::uint64_t>(number)), true, 1)
                       .value();
        ++view.number;
    }
    return view;
}

} // namespace

Test(records_view, can_be_read_back_from_its_document)
{
    RecordsView view = firstView(3);
    view.members[2].state = MemberState::Joining;
    view.members[2].predecessorCopied = true;
    const RecordsView read = RecordsView::fromDocument(view.toDocument()).value();
    cr_assert_eq(read.number, view.number);
    cr_assert(read.members == view.members);
    cr_assert(!RecordsView::fromDocument("[1]").has_value());
}

Test(records_view, any_two_quorums_intersect)
{
    for (int members = 2; members <= 7; ++members) {
        const RecordsView view = firstView(members);
        cr_assert_gt(view.reservationQuorum() * 2, members);
        cr_assert_gt(view.durableCopies() + view.absenceQuorum(), members);
        cr_assert_leq(view.reservationQuorum(), members);
    }
}

Test(records_view, a_new_disk_on_a_known_vm_has_to_copy)
{
    const RecordsView view =
            RecordsMembership::withJoined(firstView(3), vm("r1", 9), false, 1).value();
    cr_assert_eq(view.members.size(), 3);
    const RecordsMember *member = view.memberOnVm(QStringLiteral("r1"));
    cr_assert(member->state == MemberState::Joining);
    cr_assert_eq(member->syncSources, 2, "each of the others may be the only one with a record");
    cr_assert_eq(view.reservationQuorum(), 2);
}

Test(records_view, the_same_disk_at_a_new_address_stays_synced)
{
    VmDescriptor atNewAddress = vm("r1", 1);
    atNewAddress.address = QStringLiteral("10.0.0.9");
    const RecordsView view =
            RecordsMembership::withJoined(firstView(3), atNewAddress, false, 1).value();
    cr_assert(view.memberOnVm(QStringLiteral("r1"))->state == MemberState::Synced);
    cr_assert(!RecordsMembership::withJoined(view, atNewAddress, false, 1).has_value());
}

Test(records_view, a_leaving_member_is_still_asked_for_reservations)
{
    RecordsView view = firstView(3);
    view.members[1].state = MemberState::Joining; // its disk was lost
    view.members[2].state = MemberState::Leaving; // the others may not have all its records yet
    cr_assert_eq(view.reservationQuorum(), 2);
    cr_assert_eq(view.durableCopies(), 2);
    view.members.pop_back();
    cr_assert_eq(view.reservationQuorum(), 1, "the other one has left only now");
}

Test(records_view, a_standby_counts_in_no_quorum)
{
    const RecordsView three = firstView(3);
    const RecordsView four = RecordsMembership::withJoined(three, vm("r4", 4), false, 1).value();
    cr_assert(four.isStandby(four.members.back()));
    cr_assert_eq(four.reservationQuorum(), three.reservationQuorum());
    cr_assert_eq(four.absenceQuorum(), three.absenceQuorum());
    cr_assert_eq(four.storingCount(), 3);
    const auto promoted = RecordsMembership::withStandbyPromoted(four, vm("r2", 2).incarnation,
                                                                 vm("r4", 4).incarnation);
    cr_assert(promoted.has_value());
    cr_assert_eq(promoted->syncedCount(), 3);
    cr_assert_null(promoted->memberOnVm(QStringLiteral("r2")));
    cr_assert(!RecordsMembership::withStandbyPromoted(*promoted, vm("r3", 3).incarnation,
                                                      vm("r4", 4).incarnation)
                       .has_value(),
              "the standby is a synced member already");
}

Test(records_view, a_silent_member_stays_until_it_is_replaced)
{
    RecordsView view = firstView(3);
    cr_assert(!RecordsMembership::withoutSilentMember(view, vm("r1", 1).incarnation).has_value());
    view = RecordsMembership::withJoined(view, vm("r4", 4), false, 1).value();
    cr_assert(!RecordsMembership::withoutSilentMember(view, vm("r1", 1).incarnation).has_value());
    view.members.back().state = MemberState::Synced;
    const auto next = RecordsMembership::withoutSilentMember(view, vm("r1", 1).incarnation);
    cr_assert(next.has_value());
    cr_assert_eq(next->members.size(), 3);
}
