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

/** One item's need within a DemandReport. */
struct ItemNeed
{
    ShareItem item;
    double demandParts = 0;
    std::uint64_t heldParts = 0;
};

/** Writes needs as the payload of a DemandReport. */
[[nodiscard]] QByteArray encodeNeeds(const std::vector<ItemNeed> &needs);

/** Reads the payload of a DemandReport; a damaged one gives no needs. */
[[nodiscard]] std::vector<ItemNeed> decodeNeeds(const QByteArray &payload);

/** The needs that other zones reported lately. Pure: time is passed in. */
class ReportedNeeds
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** How long a report counts. */
    static constexpr std::chrono::seconds validity{4};

    /** Notes a need of the zone. */
    void recordNeed(const QString &zone, const ItemNeed &need, Time now);

    /** Forgets the zone's need of an item, which has been met in part. */
    void forget(const QString &zone, const ShareItem &item);

    /** Returns the fresh needs of the item. */
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
