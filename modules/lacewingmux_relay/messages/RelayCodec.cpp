#include "lacewingmux_relay/messages/RelayCodec.h"

#include "lacewingmux_peer/messages/FlatBufferPayload.h"
#include "lacewingmux_relay/messages/relay_generated.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Longer times make no difference to a subscriber, and a damaged one must not overflow a time
// point.
constexpr std::chrono::milliseconds maximumReachableFor = std::chrono::hours(1);

} // namespace

QByteArray RelayCodec::encodeUpdate(const RelayUpdate &update)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::RelayedRecord>> records;
    records.reserve(update.records.size());
    for (const StoreRecord &record : update.records)
        records.push_back(fb::CreateRelayedRecord(builder, createBytes(builder, record.key),
                                                  createBytes(builder, record.value),
                                                  record.createRevision, record.modRevision));
    const auto prefix = createBytes(builder, update.prefix);
    builder.Finish(fb::CreateRelayUpdate(builder, prefix, update.revision, update.isFull,
                                         builder.CreateVector(records)));
    return payloadOf(builder);
}

std::optional<RelayUpdate> RelayCodec::decodeUpdate(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::RelayUpdate>(bytes);
    if (table == nullptr)
        return std::nullopt;
    RelayUpdate update{bytesOf(table->prefix()), table->revision(), table->full(), {}};
    if (table->records() != nullptr) {
        for (const fb::RelayedRecord *record : *table->records())
            update.records.push_back({bytesOf(record->key()), bytesOf(record->value()),
                                      record->create_revision(), record->mod_revision(), 0});
    }
    return update;
}

QByteArray RelayCodec::encodeStatus(const RelayStatus &status)
{
    FlatBufferBuilder builder;
    builder.Finish(fb::CreateRelayStatus(builder, status.storeReachable,
                                         static_cast<int>(status.contactAge.count()),
                                         status.reachableFor.count()));
    return payloadOf(builder);
}

std::optional<RelayStatus> RelayCodec::decodeStatus(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::RelayStatus>(bytes);
    if (table == nullptr)
        return std::nullopt;
    using std::chrono::milliseconds;
    const milliseconds reachableFor{table->reachable_for_ms()};
    return RelayStatus{table->reachable(), milliseconds(table->contact_age_ms()),
                       std::clamp(reachableFor, milliseconds(0), maximumReachableFor)};
}

} // namespace lacewingmux
