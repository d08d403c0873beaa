#pragma once

#include "lacewingmux_zone/journal/AggregateRecord.h"
#include "lacewingmux_zone/journal/JournalChange.h"

#include <map>
#include <vector>

namespace lacewingmux {

/**
    The records of one slot, by aggregate.

    A plain value: the owner and the backup each keep one and apply the same entries to it in the
    same order, so both hold the same records at the same sequence number.
*/
class RecordMap
{
public:
    /** Adds an entry behind those of its aggregate. */
    void append(const AggregateId &aggregate, const QByteArray &entry);

    /** Puts one entry in place of all entries of the aggregate. */
    void replace(const AggregateId &aggregate, const QByteArray &entry);

    /** Forgets the aggregate. */
    void remove(const AggregateId &aggregate);

    /** Applies one journal entry. */
    void apply(const JournalChange &change);

    /** Forgets everything. */
    void clear();

    /** Returns the entries of the aggregate; an empty list when it is not known. */
    [[nodiscard]] const std::vector<QByteArray> &entries(const AggregateId &aggregate) const;

    /** Returns all records in a copy, ordered by aggregate. */
    [[nodiscard]] std::vector<AggregateRecord> toRecords() const;

    [[nodiscard]] const std::map<AggregateId, std::vector<QByteArray>> &byAggregate() const noexcept
    {
        return this->entriesByAggregate;
    }

private:
    std::map<AggregateId, std::vector<QByteArray>> entriesByAggregate;
};

} // namespace lacewingmux
