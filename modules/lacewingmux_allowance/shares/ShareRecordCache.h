#pragma once

#include "lacewingmux_allowance/shares/ShareRecord.h"
#include "lacewingmux_allowance/shares/ShareTable.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <map>
#include <memory>

namespace lacewingmux {

/** The share records known to a VM, each at the highest revision received. */
class ShareRecordCache
{
public:
    struct Entry
    {
        std::int64_t revision = 0; ///< 0 for an absent record
        QByteArray value;
        ShareRecord record;
    };

    /** Stores a record; returns false when it is malformed or not newer than the cached one. */
    bool update(const QByteArray &key, std::int64_t revision, const QByteArray &value);

    /** Returns the entry of the key; an absent record has revision 0. */
    [[nodiscard]] const Entry &entry(const QByteArray &key) const;

    /** Returns the shares of the item, or null when no known record contains it. */
    [[nodiscard]] const SharesByZone *find(const ShareItem &item) const;

    /** Returns a snapshot of the shares of one zone, for its owners. */
    [[nodiscard]] std::shared_ptr<const ShareTable> tableOf(const QString &zone) const;

    [[nodiscard]] const std::map<QByteArray, Entry> &entries() const noexcept
    {
        return this->entriesByKey;
    }

private:
    std::map<QByteArray, Entry> entriesByKey;
};

} // namespace lacewingmux
