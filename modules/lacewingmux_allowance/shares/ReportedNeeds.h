#pragma once

#include "lacewingmux_allowance/shares/DemandDrivenShares.h"
#include "lacewingmux_allowance/shares/ShareItem.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace lacewingmux {

/** A zone's demand and parts held of one item, as sent in a DemandReport. */
struct ItemNeed
{
    ShareItem item;
    double demandParts = 0;
    std::uint64_t heldParts = 0;
};

/** Encodes needs as the payload of a DemandReport. */
[[nodiscard]] QByteArray encodeNeeds(const std::vector<ItemNeed> &needs);

/** Decodes the payload of a DemandReport; returns no needs when it is malformed. */
[[nodiscard]] std::vector<ItemNeed> decodeNeeds(const QByteArray &payload);

/** The recent needs reported by other zones. Reads no clock; the time is passed in. */
class ReportedNeeds
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** How long a report remains valid. */
    static constexpr std::chrono::seconds validity{4};

    /** Records a need of the zone, replacing the previous one for the same item. */
    void recordNeed(const QString &zone, const ItemNeed &need, Time now);

    /** Removes the zone's need of an item, after it has been met in part. */
    void remove(const QString &zone, const ShareItem &item);

    /** Returns the needs of the item that are still valid. */
    [[nodiscard]] std::vector<ZoneNeed> needsOf(const ShareItem &item, Time now) const;

private:
    struct TimedNeed
    {
        ZoneNeed need;
        Time recordedAt;
    };

    std::map<ShareItem, std::map<QString, TimedNeed>> needsByItem;
};

} // namespace lacewingmux
