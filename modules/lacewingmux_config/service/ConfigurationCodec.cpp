#include "lacewingmux_config/service/ConfigurationCodec.h"

#include "lacewingmux_config/messages/config_generated.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr qsizetype largestValueBytes = 4'194'304; ///< of an uncompressed document

const std::uint8_t *bytesOf(const QByteArray &bytes)
{
    return reinterpret_cast<const std::uint8_t *>(bytes.constData());
}

QByteArray toByteArray(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return {reinterpret_cast<const char *>(bytes->data()), static_cast<qsizetype>(bytes->size())};
}

auto write(flatbuffers::FlatBufferBuilder &builder, const RevisionSet &revisions)
{
    const auto shards =
            builder.CreateVector(revisions.keyShards.data(), revisions.keyShards.size());
    return fb::CreateRevisions(builder, revisions.configuration, shards);
}

RevisionSet read(const fb::Revisions &table)
{
    RevisionSet revisions;
    revisions.configuration = table.configuration();
    if (table.key_shards() == nullptr)
        return revisions;
    const auto count =
            std::min<flatbuffers::uoffset_t>(table.key_shards()->size(), KeyShard::shardCount);
    for (flatbuffers::uoffset_t index = 0; index < count; ++index)
        revisions.keyShards[index] = table.key_shards()->Get(index);
    return revisions;
}

/** Uncompresses a value; empty when it is broken or claims to be too large. */
QByteArray uncompressed(const flatbuffers::Vector<std::uint8_t> &compressed)
{
    constexpr flatbuffers::uoffset_t sizePrefixBytes = 4; ///< qCompress puts the size in front
    if (compressed.size() < sizePrefixBytes)
        return {};
    qsizetype size = 0;
    for (flatbuffers::uoffset_t index = 0; index < sizePrefixBytes; ++index)
        size = size * 256 + compressed[index];
    if (size > largestValueBytes)
        return {};
    return qUncompress(compressed.data(), static_cast<qsizetype>(compressed.size()));
}

} // namespace

QByteArray ConfigurationCodec::encode(const ConfigurationAnnouncement &announcement)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::Document>> documents;
    for (const ConfigurationFile &file : announcement.files) {
        const QByteArray compressed = qCompress(file.value);
        const auto key = builder.CreateVector(bytesOf(file.storeKey),
                                              static_cast<std::size_t>(file.storeKey.size()));
        const auto value = builder.CreateVector(bytesOf(compressed),
                                                static_cast<std::size_t>(compressed.size()));
        documents.push_back(fb::CreateDocument(builder, key, value));
    }
    const auto files = builder.CreateVector(documents);
    const auto revisions = write(builder, announcement.revisions);
    const std::int64_t age = announcement.storeAge ? announcement.storeAge->count() : -1;
    builder.Finish(fb::CreateConfigurationAnnouncement(builder, revisions, age, files));
    return payloadOf(builder);
}

std::optional<ConfigurationAnnouncement>
ConfigurationCodec::decodeAnnouncement(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ConfigurationAnnouncement>(payload);
    if (table == nullptr)
        return std::nullopt;
    ConfigurationAnnouncement announcement;
    announcement.revisions = read(*table->revisions());
    if (table->store_age_ms() >= 0)
        announcement.storeAge = std::chrono::milliseconds(table->store_age_ms());
    if (table->documents() == nullptr)
        return announcement;
    for (const fb::Document *document : *table->documents()) {
        const QByteArray value = uncompressed(*document->compressed_value());
        if (value.isEmpty())
            return std::nullopt;
        announcement.files.push_back({toByteArray(document->store_key()), value});
    }
    return announcement;
}

QByteArray ConfigurationCodec::encodeRequest(const RevisionSet &known)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreateConfigurationRequest(builder, write(builder, known)));
    return payloadOf(builder);
}

std::optional<RevisionSet> ConfigurationCodec::decodeRequest(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ConfigurationRequest>(payload);
    if (table == nullptr)
        return std::nullopt;
    return read(*table->revisions());
}

QByteArray ConfigurationCodec::encode(const std::vector<ZoneInForce> &zones)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::ZoneInForce>> entries;
    for (const ZoneInForce &zone : zones) {
        const auto name = builder.CreateString(zone.zone.toStdString());
        entries.push_back(fb::CreateZoneInForce(builder, name, zone.configuration, zone.keys,
                                                zone.vms, zone.reportedVms,
                                                static_cast<std::uint64_t>(zone.age.count())));
    }
    builder.Finish(fb::CreateConfigurationInForce(builder, builder.CreateVector(entries)));
    return payloadOf(builder);
}

std::optional<std::vector<ZoneInForce>> ConfigurationCodec::decodeZones(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ConfigurationInForce>(payload);
    if (table == nullptr)
        return std::nullopt;
    std::vector<ZoneInForce> zones;
    for (const fb::ZoneInForce *entry : *table->zones()) {
        zones.push_back({QString::fromStdString(entry->zone()->str()), entry->configuration(),
                         entry->keys(), entry->vms(), entry->reported_vms(),
                         std::chrono::milliseconds(entry->age_ms())});
    }
    return zones;
}

} // namespace lacewingmux
