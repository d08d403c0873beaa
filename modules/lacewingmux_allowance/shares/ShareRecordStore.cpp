#include "lacewingmux_allowance/shares/ShareRecordStore.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

ShareRecordStore::ShareRecordStore(PlatformStore &platformStore, LearnedHandler learnedHandler)
    : store(platformStore)
    , learned(std::move(learnedHandler))
    , alive(std::make_shared<bool>(true))
{ }

ShareRecordStore::~ShareRecordStore()
{
    *this->alive = false;
}

void ShareRecordStore::refresh()
{
    if (!this->complete || (this->wantsWatch && !this->watch))
        this->readAll();
    for (const QByteArray &key : this->unsettled)
        this->readRecord(key);
}

void ShareRecordStore::setWatching(bool watching)
{
    if (this->wantsWatch == watching)
        return;
    this->wantsWatch = watching;
    this->watch.reset();
    // What was missed while nobody watched here is read before the watch begins.
    if (watching)
        this->readAll();
}

void ShareRecordStore::learn(const QByteArray &key, std::int64_t revision, const QByteArray &value)
{
    if (this->records.learn(key, revision, value))
        this->learned(key, revision, value);
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
        if (this->writing.count(key) == 0 && this->unsettled.count(key) == 0
            && this->write(key, edits))
            ++writes;
    }
}

bool ShareRecordStore::write(const QByteArray &key, const std::vector<Edit> &edits)
{
    const ShareRecordBook::Entry &base = this->records.entry(key);
    ShareRecord record = base.record;
    bool changed = false;
    for (const Edit &edit : edits)
        changed = edit(record) || changed;
    if (!changed)
        return false;
    this->writing.insert(key);
    this->store.compareAndSwap(
            key, base.revision, record.encode(),
            [this, token = this->alive, key](const CompareAndSwapResult &result) {
                if (*token)
                    this->handleWritten(key, result);
            });
    return true;
}

void ShareRecordStore::handleWritten(const QByteArray &key, const CompareAndSwapResult &result)
{
    this->writing.erase(key);
    if (result.outcome == CompareAndSwapOutcome::NotSent)
        return;
    const bool isCertain = result.outcome != CompareAndSwapOutcome::Unknown;
    if (isCertain && result.current && result.current->modRevision > 0) {
        this->learn(key, result.current->modRevision, result.current->value);
        return;
    }
    this->unsettled.insert(key);
    this->readRecord(key);
}

void ShareRecordStore::readRecord(const QByteArray &key)
{
    this->store.read(key, [this, token = this->alive, key](const auto &found) {
        if (!*token || !found)
            return;
        this->unsettled.erase(key);
        for (const StoreRecord &record : *found)
            this->learn(record.key, record.modRevision, record.value);
    });
}

void ShareRecordStore::readAll()
{
    if (this->readUnderWay)
        return;
    this->readUnderWay = true;
    this->store.readPrefix(ShareRecord::keyPrefix(),
                           [this, token = this->alive](const auto &found) {
                               if (!*token)
                                   return;
                               this->readUnderWay = false;
                               this->complete = this->complete || found.has_value();
                               if (!found)
                                   return;
                               for (const StoreRecord &record : *found)
                                   this->learn(record.key, record.modRevision, record.value);
                               this->startWatch();
                           });
}

void ShareRecordStore::startWatch()
{
    if (!this->wantsWatch || this->watch)
        return;
    std::int64_t newest = 0;
    for (const auto &[key, entry] : this->records.entries())
        newest = std::max(newest, entry.revision);
    this->watch = this->store.watchPrefix(ShareRecord::keyPrefix(), newest,
                                          [this, token = this->alive](const StoreRecord &record) {
                                              if (*token)
                                                  this->learn(record.key, record.modRevision,
                                                              record.value);
                                          });
}

} // namespace lacewingmux
