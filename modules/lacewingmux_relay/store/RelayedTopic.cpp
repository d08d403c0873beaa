#include "lacewingmux_relay/store/RelayedTopic.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

// Deletions that are remembered: as many replicas as the largest deployment replaces in hours.
constexpr std::size_t maximumDeletions = 4096;

} // namespace

RelayedTopic::RelayedTopic(QByteArray watchedPrefix, RelevanceFunction relevanceFunction)
    : topicPrefix(std::move(watchedPrefix))
    , isRelevant(std::move(relevanceFunction))
{ }

bool RelayedTopic::apply(const StoreRecord &change)
{
    // Relays of earlier builds also pass on items that name neither.
    if (!change.key.startsWith(this->topicPrefix) || change.modRevision <= 0)
        return false;
    const auto [entry, isNew] = this->known.try_emplace(change.key, change);
    const bool isDeletion = change.createRevision == 0;
    if (isNew) {
        this->deletedCount += isDeletion ? 1 : 0;
        this->forgetOldDeletions();
        return true;
    }
    if (change.modRevision <= entry->second.modRevision)
        return false;
    const StoreRecord before = std::exchange(entry->second, change);
    const bool wasDeleted = before.createRevision == 0;
    if (isDeletion && !wasDeleted)
        ++this->deletedCount;
    else if (!isDeletion && wasDeleted)
        --this->deletedCount;
    const bool existed = !wasDeleted && !isDeletion;
    const bool relevant = !existed || !this->isRelevant || this->isRelevant(before, change);
    this->forgetOldDeletions();
    return relevant;
}

std::vector<StoreRecord> RelayedTopic::apply(const RelayUpdate &update)
{
    std::vector<StoreRecord> changes;
    for (const StoreRecord &record : update.records) {
        if (this->apply(record))
            changes.push_back(record);
    }
    if (update.isFull) {
        std::map<QByteArray, StoreRecord> missing = this->known;
        for (const StoreRecord &record : update.records)
            missing.erase(record.key);
        for (const auto &[key, record] : missing) {
            const StoreRecord deletion{key, {}, 0, update.revision, 0};
            const bool wasSeen = record.modRevision <= update.revision;
            if (record.createRevision != 0 && wasSeen && this->apply(deletion))
                changes.push_back(deletion);
        }
    }
    this->setRevision(update.revision);
    return changes;
}

void RelayedTopic::setRevision(std::int64_t seen)
{
    this->knownRevision = std::max(this->knownRevision, seen);
}

std::vector<QByteArray> RelayedTopic::keys() const
{
    std::vector<QByteArray> existing;
    for (const auto &[key, record] : this->known) {
        if (record.createRevision != 0)
            existing.push_back(key);
    }
    return existing;
}

std::vector<StoreRecord> RelayedTopic::records() const
{
    std::vector<StoreRecord> existing;
    for (const auto &[key, record] : this->known) {
        if (record.createRevision != 0)
            existing.push_back(record);
    }
    return existing;
}

void RelayedTopic::forgetOldDeletions()
{
    if (this->deletedCount <= maximumDeletions)
        return;
    std::vector<std::int64_t> revisions;
    for (const auto &[key, record] : this->known) {
        if (record.createRevision == 0)
            revisions.push_back(record.modRevision);
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    const std::int64_t oldest = *middle;
    std::erase_if(this->known, [oldest](const auto &entry) {
        return entry.second.createRevision == 0 && entry.second.modRevision < oldest;
    });
    this->deletedCount = static_cast<std::size_t>(
            std::count_if(this->known.begin(), this->known.end(),
                          [](const auto &entry) { return entry.second.createRevision == 0; }));
}

} // namespace lacewingmux
