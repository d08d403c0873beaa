#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** One key of the platform's store with its value and revisions. */
struct StoreRecord
{
    QByteArray key;
    QByteArray value; ///< up to a megabyte
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0; ///< the store's revision of the last write; 0 when absent
    std::int64_t leaseId = 0;     ///< 0 when the key is bound to no lease
};

} // namespace lacewingmux
