#pragma once

#include "lacewingmux_allowance/shares/ShareRecordCache.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    Reads and writes the share records. All edits of one record in a round are combined into one
    compare-and-swap. A record whose last write may or may not have been applied is not written
    again until it has been read.
*/
class ShareRecordStore
{
public:
    /** Modifies a record; returns false when there is nothing to change. */
    using Edit = std::function<bool(ShareRecord &)>;

    /** Called for each record that is newer than the cached one. */
    using UpdateHandler =
            std::function<void(const QByteArray &key, std::int64_t revision, const QByteArray &)>;

    ShareRecordStore(PlatformStore &platformStore, UpdateHandler updateHandler);
    ~ShareRecordStore();
    ShareRecordStore(const ShareRecordStore &) = delete;
    ShareRecordStore &operator=(const ShareRecordStore &) = delete;

    [[nodiscard]] const ShareRecordCache &cache() const noexcept
    {
        return this->recordCache;
    }

    /** Returns whether all records were read, so that an item absent from them doesn't exist. */
    [[nodiscard]] bool isComplete() const noexcept
    {
        return this->complete;
    }

    /**
        Reads all records until that has succeeded once or while a requested watch is not running,
        and always the records with an uncertain write.
    */
    void refresh();

    /** Starts or stops watching the records. */
    void setWatching(bool watching);

    [[nodiscard]] bool isWatching() const noexcept
    {
        return this->watchRequested;
    }

    /** Adds a record received from another VM. */
    void update(const QByteArray &key, std::int64_t revision, const QByteArray &value);

    /** Adds an edit of the item's record, to be written by writeEdits. */
    void addEdit(const ShareItem &item, Edit edit);

    /** Writes the edits of at most maxWrites records and discards the others. */
    void writeEdits(std::size_t maxWrites);

private:
    [[nodiscard]] bool write(const QByteArray &key, const std::vector<Edit> &edits);
    void handleWriteResult(const QByteArray &key, const CompareAndSwapResult &result);
    void readRecord(const QByteArray &key);
    void readAll();
    void startWatch();

    PlatformStore &store;
    UpdateHandler recordUpdated;
    ShareRecordCache recordCache;
    bool complete = false;
    bool readInProgress = false;
    bool watchRequested = false;
    std::set<QByteArray> writesInProgress; ///< keys of records with a write in progress
    std::set<QByteArray> uncertainWrites;  ///< keys of records possibly written, but unconfirmed
    std::map<QByteArray, std::vector<Edit>> editsByKey;
    std::unique_ptr<PlatformStore::Watch> watch;
    std::shared_ptr<bool> alive; ///< false once destroyed; disables pending callbacks
};

} // namespace lacewingmux
