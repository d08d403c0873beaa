#include "lacewingmux_keyvalue/memory/KeyValueTable.h"

#include <algorithm>

namespace lacewingmux {

std::vector<StoreRecord> KeyValueTable::range(const KeyRange &keys) const
{
    std::vector<StoreRecord> found;
    for (auto entry = this->records.lower_bound(keys.begin);
         entry != this->records.end() && keys.contains(entry->first); ++entry) {
        found.push_back(entry->second);
    }
    return found;
}

std::optional<StoreRecord> KeyValueTable::find(const QByteArray &key) const
{
    const auto found = this->records.find(key);
    if (found == this->records.end())
        return std::nullopt;
    return found->second;
}

std::int64_t KeyValueTable::write(const std::vector<KeyValueWrite> &steps)
{
    if (steps.empty())
        return 0;
    ++this->currentRevision;
    std::int64_t removed = 0;
    for (const KeyValueWrite &step : steps) {
        if (step.kind == KeyValueWrite::Kind::Put)
            this->put(step);
        else
            removed += this->remove(step.keys);
    }
    this->limitHistory();
    return removed;
}

std::vector<KeyValueEvent> KeyValueTable::eventsAfter(std::int64_t afterRevision,
                                                      const KeyRange &keys) const
{
    std::vector<KeyValueEvent> found;
    const auto first = std::upper_bound(this->history.begin(), this->history.end(), afterRevision,
                                        [](std::int64_t revision, const KeyValueEvent &event) {
                                            return revision < event.revision;
                                        });
    std::copy_if(first, this->history.end(), std::back_inserter(found),
                 [&keys](const KeyValueEvent &event) { return keys.contains(event.record.key); });
    return found;
}

void KeyValueTable::compact(std::int64_t upToRevision)
{
    this->droppedRevision = std::max(this->droppedRevision, upToRevision);
    while (!this->history.empty() && this->history.front().revision <= this->droppedRevision)
        this->history.pop_front();
}

std::int64_t KeyValueTable::grantLease(std::chrono::seconds timeToLive, Time now)
{
    const std::int64_t leaseId = this->nextLeaseId++;
    this->leases.emplace(leaseId, Lease{timeToLive, now + timeToLive});
    return leaseId;
}

std::optional<std::chrono::seconds> KeyValueTable::keepAlive(std::int64_t leaseId, Time now)
{
    this->expireLeases(now);
    const auto found = this->leases.find(leaseId);
    if (found == this->leases.end())
        return std::nullopt;
    found->second.expiry = now + found->second.timeToLive;
    return found->second.timeToLive;
}

bool KeyValueTable::hasLease(std::int64_t leaseId) const
{
    return this->leases.contains(leaseId);
}

bool KeyValueTable::revokeLease(std::int64_t leaseId)
{
    if (this->leases.erase(leaseId) == 0)
        return false;
    this->removeKeysOfLease(leaseId);
    return true;
}

void KeyValueTable::expireLeases(Time now)
{
    std::vector<std::int64_t> lapsed;
    for (const auto &[leaseId, lease] : this->leases) {
        if (lease.expiry <= now)
            lapsed.push_back(leaseId);
    }
    for (const std::int64_t leaseId : lapsed)
        this->revokeLease(leaseId);
}

void KeyValueTable::put(const KeyValueWrite &step)
{
    StoreRecord &record = this->records[step.keys.begin];
    if (record.createRevision == 0) {
        record.key = step.keys.begin;
        record.createRevision = this->currentRevision;
    }
    record.value = step.value;
    record.modRevision = this->currentRevision;
    record.leaseId = step.leaseId;
    this->history.push_back(KeyValueEvent{this->currentRevision, false, record});
}

std::int64_t KeyValueTable::remove(const KeyRange &keys)
{
    const std::vector<StoreRecord> doomed = this->range(keys);
    for (const StoreRecord &record : doomed) {
        this->records.erase(record.key);
        StoreRecord tombstone;
        tombstone.key = record.key;
        tombstone.modRevision = this->currentRevision;
        this->history.push_back(KeyValueEvent{this->currentRevision, true, tombstone});
    }
    return static_cast<std::int64_t>(doomed.size());
}

void KeyValueTable::limitHistory()
{
    if (this->history.size() > historyLimit)
        this->compact(this->history[this->history.size() - historyLimit].revision);
}

void KeyValueTable::removeKeysOfLease(std::int64_t leaseId)
{
    std::vector<KeyValueWrite> steps;
    for (const auto &[key, record] : this->records) {
        if (record.leaseId == leaseId)
            steps.push_back({KeyValueWrite::Kind::Remove, KeyRange::single(key), {}, 0});
    }
    this->write(steps);
}

} // namespace lacewingmux
