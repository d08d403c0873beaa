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
    Reads and writes the share records. All edits of one record in a round go into one
    compare-and-swap. A record whose write may have been applied is not written again before a
    read has settled it.
*/
class ShareRecordStore
{
public:
    /** Changes a record; returns false when there is nothing to change. */
    using Edit = std::function<bool(ShareRecord &)>;

    /** Called with each record that is newer than what was known. */
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

    /** Tells whether all records were read, so that an item they don't name has none. */
    [[nodiscard]] bool isComplete() const noexcept
    {
        return this->complete;
    }

    /** Reads what is missing: everything at first, later the records that are unsettled. */
    void refresh();

    /** Starts or ends watching the records. */
    void setWatching(bool watching);

    [[nodiscard]] bool isWatching() const noexcept
    {
        return this->watchRequested;
    }

    /** Learns a record from elsewhere. */
    void update(const QByteArray &key, std::int64_t revision, const QByteArray &value);

    /** Adds an edit of the item's record, to be written by writeEdits. */
    void addEdit(const ShareItem &item, Edit edit);

    /** Writes the edits of at most that many records and forgets the others. */
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
    std::set<QByteArray> writesInProgress; ///< records with a write under way
    std::set<QByteArray> uncertainWrites;  ///< records whose last write may have been applied
    std::map<QByteArray, std::vector<Edit>> editsByKey;
    std::unique_ptr<PlatformStore::Watch> watch;
    std::shared_ptr<bool> alive; ///< ends callbacks of the store with this
};

} // namespace lacewingmux
