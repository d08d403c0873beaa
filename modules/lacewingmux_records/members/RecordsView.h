#pragma once

#include "lacewingmux_records/members/RecordsMember.h"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    The membership view of the records VMs, agreed on through the platform's store.

    The members are divided into groups. Each program, and each team's quota, belongs to one group,
    whose members alone keep its records. All quorums are those of a group: they are computed on the
    view that ofGroup() returns.

    An acknowledged record is on one more disk than may be lost (toleratedDisks), so at least one
    copy is found when all but toleratedDisks members are asked. Reservations must also be known
    to a majority, so that of any two reservations at least one sees the other.
*/
class RecordsView
{
public:
    std::uint64_t number = 0;    ///< increases by one with each change; 0 before the first view
    int targetSize = 0;          ///< members at the first start; further ones are temporary
    int toleratedDisks = 1;      ///< number of disks that may be lost at the same time
    std::vector<int> groupSizes; ///< members of each group at the first start; empty for one group
    /** Until the members of the first start are known, their groups may still change. Nothing is
        stored before. */
    bool isForming = false;
    std::vector<RecordsMember> members;

    /** Returns the member with the incarnation of its disk, or null. */
    [[nodiscard]] const RecordsMember *member(const VmIncarnation &incarnation) const;

    /** Returns the number of groups, at least one. */
    [[nodiscard]] int groupCount() const;

    /** Returns the group of a program or team. */
    [[nodiscard]] int groupOf(const QByteArray &name) const;

    /** Returns the view of one group: its members only, under the same number. */
    [[nodiscard]] RecordsView ofGroup(int group) const;

    /** Returns the member that runs on the VM, or null. */
    [[nodiscard]] const RecordsMember *memberOnVm(const QString &vm) const;

    /** Returns all members as peers to connect to. */
    [[nodiscard]] std::vector<VmDescriptor> descriptors() const;

    /** Returns the incarnations of all members. */
    [[nodiscard]] std::vector<VmIncarnation> incarnations() const;

    /** Logs that this VM has adopted the view. */
    void logAdoption() const;

    /** Returns whether the member is a standby: it copies everything, but the view already has its
        target size of synced members, and one more would only enlarge the quorums. */
    [[nodiscard]] bool isStandby(const RecordsMember &entry) const;

    /** Returns whether records on the member's disk count as copies. */
    [[nodiscard]] bool countsAsCopy(const RecordsMember &entry) const;

    /** Returns the number of members whose copies count. */
    [[nodiscard]] int storingCount() const;

    /** Returns the number of lost disks whose records may not have been copied to all other members
        yet. Each is the predecessor of a member that does not have all records. */
    [[nodiscard]] int lostDisks() const;

    /** Returns the number of synced members. */
    [[nodiscard]] int syncedCount() const;

    /** Returns the number of copies on members whose copies count that make a record durable. */
    [[nodiscard]] int durableCopies() const;

    /** Returns whether records are written to leaving members too, as the others are too few to
       bear the loss of the tolerated disks. */
    [[nodiscard]] bool needsLeavingCopies() const;

    /** Returns whether a record is durable that is on the disks of these members: it is on
        durableCopies() of those whose copies count, and also on leaving ones if these are too few.
     */
    [[nodiscard]] bool isDurable(const std::set<VmIncarnation> &holders) const;

    /** Returns how many of the members with all reservations must know a new one to accept it, so
        that of any two reservations at least one sees the other. Leaving members are included, as
        one may have the only copy of a reservation besides a lost disk. The reservation must also
        be on durableCopies() disks. */
    [[nodiscard]] int reservationQuorum() const;

    /** Returns whether these counts suffice to accept a reservation: the number of members with all
       reservations that know it, and the number of its copies that count, must both suffice. */
    [[nodiscard]] bool isReservationQuorum(std::ptrdiff_t knowing, std::ptrdiff_t copies) const;

    /** Returns how many members must lack a record to prove that it does not exist. */
    [[nodiscard]] int absenceQuorum() const;

    [[nodiscard]] QByteArray toDocument() const;

    /** Parses the JSON document of a view; returns nothing if it is invalid. */
    [[nodiscard]] static std::optional<RecordsView> fromDocument(const QByteArray &document);
};

/** The key of the view in the platform's store. */
inline constexpr const char *recordsViewKey = "lacewingmux/records-groups";

} // namespace lacewingmux
