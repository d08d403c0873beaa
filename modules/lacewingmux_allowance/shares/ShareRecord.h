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
    std::uint64_t epoch = 0; ///< view epoch of the zone's last write; writes with a lower one fail
};

/** The shares of one item by zone. */
using SharesByZone = std::map<QString, ZoneShare>;

/**
    The value of one share record in the platform's store, which holds the shares of every item
    whose name hashes to it. Each change transfers parts within one item or creates an item, so the
    parts of an item always sum to partsPerItem. Records are written only by compare-and-swap.
*/
class ShareRecord
{
public:
    /** Decodes a record; an empty value gives an empty record, a malformed one gives nothing. */
    [[nodiscard]] static std::optional<ShareRecord> decode(const QByteArray &value);

    [[nodiscard]] QByteArray encode() const;

    /** Returns the shares of the item, or null when the record doesn't contain it. */
    [[nodiscard]] const SharesByZone *find(const ShareItem &item) const;

    /**
        Creates an item with equal shares for the first zones of the list, at most holders of them;
        the other zones hold nothing. Has no effect when the item exists.
    */
    void create(const ShareItem &item, const std::vector<QString> &zones, std::size_t holders);

    /**
        Increases the donor's given counter to drainedGiven and the receiver's received counter by
        the same amount. Returns false without changes when there is nothing left to write or a
        later epoch of the donor has written.
    */
    bool applyTransfer(const ShareItem &item, const QString &donor, std::uint64_t donorEpoch,
                       std::uint64_t drainedGiven, const QString &receiver);

    /**
        Sets the epoch of the zone's share, after which no earlier owner can write for the zone.
        Returns false when a later epoch has already written.
    */
    bool fence(const ShareItem &item, const QString &zone, std::uint64_t epoch);

    /**
        Transfers all parts of a zone that certainly has no running VMs to the receiver. Returns
        false when the zone holds nothing.
    */
    bool reclaim(const ShareItem &item, const QString &removedZone, const QString &receiver);

    [[nodiscard]] const std::map<ShareItem, SharesByZone> &items() const noexcept
    {
        return this->sharesByItem;
    }

    /** Returns the key of the record that holds the item. */
    [[nodiscard]] static QByteArray keyOf(const ShareItem &item);

    /** Returns the key prefix of all share records. */
    [[nodiscard]] static QByteArray keyPrefix();

    /** The number of records over which the teams are distributed. */
    static constexpr std::uint64_t teamRecords = 256;

private:
    std::map<ShareItem, SharesByZone> sharesByItem;
};

} // namespace lacewingmux
