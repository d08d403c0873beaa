#include "lacewingmux_backend/messages/BackendMessages.h"

#include "lacewingmux_backend/messages/backend_generated.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>

namespace lacewingmux {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<flatbuffers::String> text(Builder &builder, const QString &value)
{
    return builder.CreateString(value.toStdString());
}

QString textFrom(const flatbuffers::String *value)
{
    return value ? QString::fromUtf8(value->c_str(), static_cast<qsizetype>(value->size()))
                 : QString();
}

/** Returns the root table of the payload, or null when verification fails. */
template <typename Table>
const Table *verifiedRoot(const QByteArray &payload)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.constData());
    flatbuffers::Verifier verifier(bytes, static_cast<std::size_t>(payload.size()));
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<Table>(bytes);
}

} // namespace

QByteArray encodeQuarantineNotice(const std::vector<CrashCoincidence> &coincidences)
{
    Builder builder;
    std::vector<flatbuffers::Offset<fb::CrashCoincidence>> entries;
    entries.reserve(coincidences.size());
    for (const CrashCoincidence &coincidence : coincidences) {
        const auto digest = builder.CreateVector(
                reinterpret_cast<const std::uint8_t *>(coincidence.contentDigest.constData()),
                static_cast<std::size_t>(coincidence.contentDigest.size()));
        const auto crash = text(builder, coincidence.crash);
        entries.push_back(fb::CreateCrashCoincidence(builder, digest, crash));
    }
    const auto list = builder.CreateVector(entries);
    builder.Finish(fb::CreateQuarantineNotice(builder, list));
    return payloadOf(builder);
}

std::optional<std::vector<CrashCoincidence>> decodeQuarantineNotice(const QByteArray &payload)
{
    const auto *notice = verifiedRoot<fb::QuarantineNotice>(payload);
    if (!notice)
        return std::nullopt;
    std::vector<CrashCoincidence> coincidences;
    for (const fb::CrashCoincidence *entry : *notice->coincidences()) {
        const auto *digest = entry->content_digest();
        coincidences.push_back({QByteArray(reinterpret_cast<const char *>(digest->data()),
                                           static_cast<qsizetype>(digest->size())),
                                textFrom(entry->crash())});
    }
    return coincidences;
}

QByteArray encodeReplicaReport(const std::vector<ReplicaLoadEntry> &loads)
{
    Builder builder;
    std::vector<flatbuffers::Offset<fb::ReplicaLoadEntry>> entries;
    entries.reserve(loads.size());
    for (const ReplicaLoadEntry &entry : loads) {
        const auto replica = text(builder, entry.replica);
        const auto instance = text(builder, entry.load.instance);
        const auto age = static_cast<std::uint32_t>(
                std::max(std::chrono::milliseconds::rep(0), entry.age.count()));
        entries.push_back(fb::CreateReplicaLoadEntry(
                builder, replica, entry.load.running, entry.load.waiting, entry.load.cachedTokens,
                entry.load.cacheCapacityTokens, instance, age));
    }
    const auto list = builder.CreateVector(entries);
    builder.Finish(fb::CreateReplicaReport(builder, list));
    return payloadOf(builder);
}

std::optional<std::vector<ReplicaLoadEntry>> decodeReplicaReport(const QByteArray &payload)
{
    const auto *report = verifiedRoot<fb::ReplicaReport>(payload);
    if (!report)
        return std::nullopt;
    std::vector<ReplicaLoadEntry> loads;
    for (const fb::ReplicaLoadEntry *entry : *report->loads()) {
        ReplicaLoadEntry load;
        load.replica = textFrom(entry->replica());
        load.load.running = entry->running();
        load.load.waiting = entry->waiting();
        load.load.cachedTokens = entry->cached_tokens();
        load.load.cacheCapacityTokens = entry->cache_capacity_tokens();
        load.load.instance = textFrom(entry->instance());
        load.age = std::chrono::milliseconds(entry->age_milliseconds());
        loads.push_back(load);
    }
    return loads;
}

} // namespace lacewingmux
