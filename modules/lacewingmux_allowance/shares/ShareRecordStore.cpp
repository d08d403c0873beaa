#include "lacewingmux_allowance/shares/ShareRecordStore.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

ShareRecordStore::ShareRecordStore(PlatformStore &platformStore, UpdateHandler updateHandler)
    : store(platformStore)
    , recordUpdated(std::move(updateHandler))
    , alive(std::make_shared<bool>(true))
{ }

ShareRecordStore::~ShareRecordStore()
{
    *this->alive = false;
}

void ShareRecordStore::refresh()
{
    if (!this->complete || (this->watchRequested && !this->watch))
        this->readAll();
    for (const QByteArray &key : this->uncertainWrites)
        this->readRecord(key);
}

void ShareRecordStore::setWatching(bool watching)
{
    if (this->watchRequested == watching)
        return;
    this->watchRequested = watching;
    this->watch.reset();
    // Changes made while this VM was not watching are read before the watch starts.
    if (watching)
        this->readAll();
}

void ShareRecordStore::update(const QByteArray &key, std::int64_t revision, const QByteArray &value)
{
    if (this->recordCache.update(key, revision, value))
        this->recordUpdated(key, revision, value);
}

void ShareRecordStore::addEdit(const ShareItem &item, Edit edit)
{
    this->editsByKey[ShareRecord::keyOf(item)].push_back(std::move(edit));
}

void ShareRecordStore::writeEdits(std::size_t maxWrites)
{
    std::size_t writes = 0;
    for (const auto &[key, edits] : std::exchange(this->editsByKey, {})) {
        if (writes >= maxWrites)
            return;
        if (this->writesInProgress.count(key) == 0 && this->uncertainWrites.count(key) == 0
            && this->write(key, edits))
            ++writes;
    }
}

bool ShareRecordStore::write(const QByteArray &key, const std::vector<Edit> &edits)
{
    const ShareRecordCache::Entry &base = this->recordCache.entry(key);
    ShareRecord record = base.record;
    bool changed = false;
    for (const Edit &edit : edits)
        changed = edit(record) || changed;
    if (!changed)
        return false;
    this->writesInProgress.insert(key);
    this->store.compareAndSwap(
            key, base.revision, record.encode(),
            [this, token = this->alive, key](const CompareAndSwapResult &result) {
                if (*token)
                    this->handleWriteResult(key, result);
            });
    return true;
}

void ShareRecordStore::handleWriteResult(const QByteArray &key, const CompareAndSwapResult &result)
{
    this->writesInProgress.erase(key);
    if (result.outcome == CompareAndSwapOutcome::NotSent)
        return;
    const bool isCertain = result.outcome != CompareAndSwapOutcome::Unknown;
    if (isCertain && result.current && result.current->modRevision > 0) {
        this->update(key, result.current->modRevision, result.current->value);
        return;
    }
    this->uncertainWrites.insert(key);
    this->readRecord(key);
}

void ShareRecordStore::readRecord(const QByteArray &key)
{
    this->store.read(key, [this, token = this->alive, key](const auto &found) {
        if (!*token || !found)
            return;
        this->uncertainWrites.erase(key);
        for (const StoreRecord &record : *found)
            this->update(record.key, record.modRevision, record.value);
    });
}

void ShareRecordStore::readAll()
{
    if (this->readInProgress)
        return;
    this->readInProgress = true;
    this->store.readPrefix(ShareRecord::keyPrefix(),
                           [this, token = this->alive](const auto &found) {
                               if (!*token)
                                   return;
                               this->readInProgress = false;
                               this->complete = this->complete || found.has_value();
                               if (!found)
                                   return;
                               for (const StoreRecord &record : *found)
                                   this->update(record.key, record.modRevision, record.value);
                               this->startWatch();
                           });
}

void ShareRecordStore::startWatch()
{
    if (!this->watchRequested || this->watch)
        return;
    std::int64_t newest = 0;
    for (const auto &[key, entry] : this->recordCache.entries())
        newest = std::max(newest, entry.revision);
    this->watch = this->store.watchPrefix(ShareRecord::keyPrefix(), newest,
                                          [this, token = this->alive](const StoreRecord &record) {
                                              if (*token)
                                                  this->update(record.key, record.modRevision,
                                                               record.value);
                                          });
}

} // namespace lacewingmux
