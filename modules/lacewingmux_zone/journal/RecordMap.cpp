#include "lacewingmux_zone/journal/RecordMap.h"

namespace lacewingmux {

void RecordMap::append(const AggregateId &aggregate, const QByteArray &entry)
{
    this->entriesByAggregate[aggregate].push_back(entry);
}

void RecordMap::replace(const AggregateId &aggregate, const QByteArray &entry)
{
    this->entriesByAggregate[aggregate] = {entry};
}

void RecordMap::remove(const AggregateId &aggregate)
{
    this->entriesByAggregate.erase(aggregate);
}

void RecordMap::apply(const JournalChange &change)
{
    switch (change.kind) {
    case ChangeKind::Append:
        this->append(change.aggregate, change.entry);
        break;
    case ChangeKind::Replace:
        this->replace(change.aggregate, change.entry);
        break;
    case ChangeKind::Remove:
        this->remove(change.aggregate);
        break;
    case ChangeKind::Confirm:
        break;
    }
}

void RecordMap::clear()
{
    this->entriesByAggregate.clear();
}

const std::vector<QByteArray> &RecordMap::entries(const AggregateId &aggregate) const
{
    static const std::vector<QByteArray> none;
    const auto found = this->entriesByAggregate.find(aggregate);
    return found == this->entriesByAggregate.end() ? none : found->second;
}

std::vector<AggregateRecord> RecordMap::toRecords() const
{
    std::vector<AggregateRecord> records;
    records.reserve(this->entriesByAggregate.size());
    for (const auto &[aggregate, entries] : this->entriesByAggregate)
        records.push_back({aggregate, entries});
    return records;
}

} // namespace lacewingmux
