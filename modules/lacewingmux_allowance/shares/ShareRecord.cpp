#include "lacewingmux_allowance/shares/ShareRecord.h"

#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"
#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

SharesByZone sharesFrom(const fb::ItemShares &table)
{
    SharesByZone shares;
    for (const fb::ZoneShare *zone : *table.zones())
        shares[textOf(*zone->zone())] = {countersFrom(*zone->counters()), zone->epoch()};
    return shares;
}

flatbuffers::Offset<fb::ItemShares> sharesInto(Builder &builder, const ShareItem &item,
                                               const SharesByZone &shares)
{
    std::vector<flatbuffers::Offset<fb::ZoneShare>> zones;
    for (const auto &[zone, share] : shares) {
        const auto zoneName = textInto(builder, zone);
        const auto counters = countersInto(builder, share.counters);
        zones.push_back(fb::CreateZoneShare(builder, zoneName, counters, share.epoch));
    }
    const auto name = textInto(builder, item.name);
    const auto zoneVector = builder.CreateVector(zones);
    return fb::CreateItemShares(builder, static_cast<std::uint8_t>(item.kind), name, zoneVector);
}

std::optional<AggregateKind> kindFrom(std::uint8_t kind)
{
    if (kind == static_cast<std::uint8_t>(AggregateKind::TeamAllowance))
        return AggregateKind::TeamAllowance;
    if (kind == static_cast<std::uint8_t>(AggregateKind::PowerAllowance))
        return AggregateKind::PowerAllowance;
    return std::nullopt;
}

} // namespace

std::optional<ShareRecord> ShareRecord::decode(const QByteArray &value)
{
    ShareRecord record;
    if (value.isEmpty())
        return record;
    const auto *table = verifiedTable<fb::ShareRecord>(value);
    if (table == nullptr)
        return std::nullopt;
    if (table->items() == nullptr)
        return record;
    for (const fb::ItemShares *item : *table->items()) {
        const auto kind = kindFrom(item->kind());
        if (!kind)
            return std::nullopt;
        record.sharesByItem[{*kind, textOf(*item->name())}] = sharesFrom(*item);
    }
    return record;
}

QByteArray ShareRecord::encode() const
{
    Builder builder;
    std::vector<flatbuffers::Offset<fb::ItemShares>> items;
    for (const auto &[item, shares] : this->sharesByItem)
        items.push_back(sharesInto(builder, item, shares));
    const auto itemVector = builder.CreateVector(items);
    builder.Finish(fb::CreateShareRecord(builder, itemVector));
    return bytesOf(builder);
}

const SharesByZone *ShareRecord::find(const ShareItem &item) const
{
    const auto found = this->sharesByItem.find(item);
    return found == this->sharesByItem.end() ? nullptr : &found->second;
}

void ShareRecord::create(const ShareItem &item, const std::vector<QString> &zones,
                         std::size_t holders)
{
    if (zones.empty() || this->sharesByItem.count(item) > 0)
        return;
    const std::size_t sharing = std::clamp<std::size_t>(holders, 1, zones.size());
    SharesByZone &shares = this->sharesByItem[item];
    for (std::size_t index = 0; index < zones.size(); ++index) {
        const std::uint64_t remainder = index < partsPerItem % sharing ? 1 : 0;
        const std::uint64_t parts = index < sharing ? partsPerItem / sharing + remainder : 0;
        shares[zones[index]] = {{parts, 0, 0}, 0};
    }
}

bool ShareRecord::applyTransfer(const ShareItem &item, const QString &donor,
                                std::uint64_t donorEpoch, std::uint64_t drainedGiven,
                                const QString &receiver)
{
    const auto found = this->sharesByItem.find(item);
    if (found == this->sharesByItem.end())
        return false;
    SharesByZone &shares = found->second;
    const auto from = shares.find(donor);
    if (from == shares.end() || from->second.epoch > donorEpoch
        || drainedGiven <= from->second.counters.given)
        return false;
    const std::uint64_t parts = drainedGiven - from->second.counters.given;
    from->second.counters.given = drainedGiven;
    from->second.epoch = donorEpoch;
    shares[receiver].counters.received += parts;
    return true;
}

bool ShareRecord::fence(const ShareItem &item, const QString &zone, std::uint64_t epoch)
{
    const auto found = this->sharesByItem.find(item);
    if (found == this->sharesByItem.end())
        return false;
    ZoneShare &share = found->second[zone];
    if (share.epoch > epoch)
        return false;
    share.epoch = epoch;
    return true;
}

bool ShareRecord::reclaim(const ShareItem &item, const QString &removedZone,
                          const QString &receiver)
{
    const auto found = this->sharesByItem.find(item);
    if (found == this->sharesByItem.end() || removedZone == receiver)
        return false;
    SharesByZone &shares = found->second;
    const auto removed = shares.find(removedZone);
    const std::uint64_t parts = removed == shares.end() ? 0 : removed->second.counters.parts();
    if (parts == 0)
        return false;
    removed->second.counters.given += parts;
    shares[receiver].counters.received += parts;
    return true;
}

QByteArray ShareRecord::keyOf(const ShareItem &item)
{
    if (item.kind == AggregateKind::PowerAllowance)
        return keyPrefix() + "power";
    return keyPrefix() + "teams/"
           + QByteArray::number(
                   static_cast<qulonglong>(stableHash(item.name.toUtf8()) % teamRecords));
}

QByteArray ShareRecord::keyPrefix()
{
    return QByteArrayLiteral("lacewingmux/shares/");
}

} // namespace lacewingmux
