#pragma once

#include "lacewingmux_allowance/shares/ShareCounters.h"
#include "lacewingmux_allowance/shares/ShareItem.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/** One zone's share of an item in a record. */
struct ZoneShare
{
    ShareCounters counters;
    std::uint64_t epoch = 0; ///< of the zone's view when it last wrote; an earlier one may not
};

/** The shares of one item by zone. */
using SharesByZone = std::map<QString, ZoneShare>;

/**
    The value of one record of shares in the platform's store: the shares of every item whose name
    hashes to it. Each change moves parts within one item or makes an item, so the parts of an item
    always sum to partsPerItem. Written by compare-and-swap alone.
*/
class ShareRecord
{
public:
    /** Reads a record; an empty value is an empty record, a damaged one gives nothing. */
    [[nodiscard]] static std::optional<ShareRecord> decode(const QByteArray &value);

    [[nodiscard]] QByteArray encode() const;

    /** Returns the shares of the item, or null when it has none yet. */
    [[nodiscard]] const SharesByZone *find(const ShareItem &item) const;

    /**
        Makes an item with equal shares for the first zones of the list, at most holders of them;
        the others hold nothing. Changes nothing when the item exists.
    */
    void create(const ShareItem &item, const std::vector<QString> &zones, std::size_t holders);

    /**
        Raises what the giver has given to the count that its owner has settled and the receiver by
        the same. Returns false, with nothing changed, when there is nothing left to write or a
        later epoch of the giver has written.
    */
    bool applyTransfer(const ShareItem &item, const QString &donor, std::uint64_t donorEpoch,
                       std::uint64_t drainedGiven, const QString &receiver);

    /**
        Marks the zone's share with its epoch, after which no earlier owner can write for the zone.
        Returns false when a later epoch has written already.
    */
    bool fence(const ShareItem &item, const QString &zone, std::uint64_t epoch);

    /**
        Takes all that a zone holds, of which it is certain that none of its VMs runs, for another
        zone. Returns false when it holds nothing.
    */
    bool reclaim(const ShareItem &item, const QString &removedZone, const QString &receiver);

    [[nodiscard]] const std::map<ShareItem, SharesByZone> &items() const noexcept
    {
        return this->sharesByItem;
    }

    /** Returns the key of the record that holds the item. */
    [[nodiscard]] static QByteArray keyOf(const ShareItem &item);

    /** Returns the prefix of all records. */
    [[nodiscard]] static QByteArray keyPrefix();

    /** How many records the teams are spread over. */
    static constexpr std::uint64_t teamRecords = 256;

private:
    std::map<ShareItem, SharesByZone> sharesByItem;
};

} // namespace lacewingmux
