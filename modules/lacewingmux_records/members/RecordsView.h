#pragma once

#include "lacewingmux_records/members/RecordsMember.h"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    The records VMs that hold the programs' records, by agreement through the platform's store.

    What is acknowledged is on the disks of as many members as may be lost, plus one, so it is
    found by asking all but that many. Reservations are known to a majority besides, so that of any
    two at least one sees the other.
*/
class RecordsView
{
public:
    std::uint64_t number = 0; ///< grows by one with each change; 0 before there is a view
    int targetSize = 0;       ///< members at the first start; more are only there for a change
    int toleratedDisks = 1;   ///< disks that may be lost at once
    std::vector<RecordsMember> members;

    /** Returns the member with the disk, or null. */
    [[nodiscard]] const RecordsMember *member(const VmIncarnation &incarnation) const;

    /** Returns the member that runs on the VM, or null. */
    [[nodiscard]] const RecordsMember *memberOnVm(const QString &vm) const;

    /** Returns all members as peers to hold links to. */
    [[nodiscard]] std::vector<VmDescriptor> descriptors() const;

    /** Logs that the view is in force on this VM. */
    void logAdoption() const;

    /** Tells whether the member only stands by: it copies everything, but synced members have all
        places, and one more would only make quorums larger. */
    [[nodiscard]] bool isSpare(const RecordsMember &entry) const;

    /** Tells whether what the member stores counts as a copy. */
    [[nodiscard]] bool countsAsCopy(const RecordsMember &entry) const;

    /** Returns how many members' copies count. */
    [[nodiscard]] int storingCount() const;

    /** Returns how many members are synced. */
    [[nodiscard]] int syncedCount() const;

    /** Returns how many disks must hold a record before it counts. */
    [[nodiscard]] int durableCopies() const;

    /** Returns how many members that hold all reservations must know another one before it counts,
        so that of any two at least one sees the other. One that leaves is among them, as it may
        still be the only one to hold a reservation besides a disk that was lost. The reservation
        has to be on durableCopies() disks besides. */
    [[nodiscard]] int reservationQuorum() const;

    /** Tells whether a reservation counts that so many members know and so many disks keep. */
    [[nodiscard]] bool isReserved(std::ptrdiff_t knowing, std::ptrdiff_t copies) const;

    /** Returns how many members must lack a record before it is certain that there is none. */
    [[nodiscard]] int absenceQuorum() const;

    [[nodiscard]] QByteArray toDocument() const;

    /** Returns the view in the document; nothing when it can't be read. */
    [[nodiscard]] static std::optional<RecordsView> fromDocument(const QByteArray &document);
};

/** The key of the view in the platform's store. */
inline constexpr const char *recordsViewKey = "lacewingmux/records";

} // namespace lacewingmux
