#include "lacewingmux_allowance/shares/ReportedNeeds.h"

#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"

#include <cmath>

namespace lacewingmux {

QByteArray encodeNeeds(const std::vector<ItemNeed> &needs)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::ItemNeed>> items;
    for (const ItemNeed &need : needs) {
        const auto name = textInto(builder, need.item.name);
        items.push_back(fb::CreateItemNeed(builder, static_cast<std::uint8_t>(need.item.kind), name,
                                           need.demandParts, need.heldParts));
    }
    const auto itemVector = builder.CreateVector(items);
    builder.Finish(fb::CreateDemandReport(builder, itemVector));
    return bytesOf(builder);
}

std::vector<ItemNeed> decodeNeeds(const QByteArray &payload)
{
    std::vector<ItemNeed> needs;
    const auto *table = verifiedTable<fb::DemandReport>(payload);
    if (table == nullptr || table->items() == nullptr)
        return needs;
    for (const fb::ItemNeed *item : *table->items()) {
        const bool isPower =
                item->kind() == static_cast<std::uint8_t>(AggregateKind::PowerAllowance);
        if (!std::isfinite(item->demand_parts()) || item->demand_parts() < 0)
            continue;
        needs.push_back({{isPower ? AggregateKind::PowerAllowance : AggregateKind::TeamAllowance,
                          textOf(*item->name())},
                         item->demand_parts(),
                         item->held_parts()});
    }
    return needs;
}

void ReportedNeeds::recordNeed(const QString &zone, const ItemNeed &need, Time now)
{
    this->needsByItem[need.item][zone] = {{zone, need.demandParts, need.heldParts}, now};
}

void ReportedNeeds::remove(const QString &zone, const ShareItem &item)
{
    const auto found = this->needsByItem.find(item);
    if (found != this->needsByItem.end())
        found->second.erase(zone);
}

std::vector<ZoneNeed> ReportedNeeds::needsOf(const ShareItem &item, Time now) const
{
    std::vector<ZoneNeed> needs;
    const auto found = this->needsByItem.find(item);
    if (found == this->needsByItem.end())
        return needs;
    for (const auto &[zone, timedNeed] : found->second) {
        if (now - timedNeed.recordedAt <= validity)
            needs.push_back(timedNeed.need);
    }
    return needs;
}

} // namespace lacewingmux
