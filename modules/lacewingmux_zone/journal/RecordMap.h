#pragma once

#include "lacewingmux_zone/journal/AggregateRecord.h"
#include "lacewingmux_zone/journal/JournalChange.h"

#include <map>
#include <vector>

namespace lacewingmux {

/**
    The records of one slot, by aggregate.

    A value type. The owner and the backup each keep one and apply the same entries in the same
    order, so both hold the same records at the same sequence number.
*/
class RecordMap
{
public:
    /** Appends an entry to those of its aggregate. */
    void append(const AggregateId &aggregate, const QByteArray &entry);

    /** Replaces all entries of the aggregate with one. */
    void replace(const AggregateId &aggregate, const QByteArray &entry);

    /** Removes the aggregate. */
    void remove(const AggregateId &aggregate);

    /** Applies one journal entry. */
    void apply(const JournalChange &change);

    /** Removes all records. */
    void clear();

    /** Returns the entries of the aggregate; an empty list if it is unknown. */
    [[nodiscard]] const std::vector<QByteArray> &entries(const AggregateId &aggregate) const;

    /** Returns a copy of all records, ordered by aggregate. */
    [[nodiscard]] std::vector<AggregateRecord> toRecords() const;

    [[nodiscard]] const std::map<AggregateId, std::vector<QByteArray>> &byAggregate() const noexcept
    {
        return this->entriesByAggregate;
    }

private:
    std::map<AggregateId, std::vector<QByteArray>> entriesByAggregate;
};

} // namespace lacewingmux
