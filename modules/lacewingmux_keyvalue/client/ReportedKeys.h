#pragma once

#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <QByteArray>

#include <cstdint>
#include <set>
#include <vector>

namespace lacewingmux {

/** The keys that exist as far as the owner of a watch was told. */
class ReportedKeys
{
public:
    /** Notes a change that the owner is told of. */
    void note(const StoreRecord &change);

    [[nodiscard]] bool contains(const QByteArray &key) const;

    /** Returns a deletion, as of the revision, of each key that a whole list no longer has. */
    [[nodiscard]] std::vector<StoreRecord> missingFrom(const std::vector<StoreRecord> &list,
                                                       std::int64_t revision) const;

private:
    std::set<QByteArray> keys;
};

} // namespace lacewingmux
