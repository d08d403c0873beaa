#include "lacewingmux_records/messages/RecordsCodec.h"

#include "lacewingmux_peer/links/PeerHubSettings.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"
#include "lacewingmux_records/messages/records_generated.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using ByteVector = flatbuffers::Vector<std::uint8_t>;
using std::chrono::milliseconds;
using std::chrono::system_clock;

// Runs end earlier; bounds what a damaged notice may state.
constexpr std::int64_t longestNoticeAgeMilliseconds = 600000;

/** Returns the age that a crash notice states, within what is possible. */
milliseconds noticeAge(std::int64_t statedMilliseconds)
{
    return milliseconds(
            std::clamp<std::int64_t>(statedMilliseconds, 0, longestNoticeAgeMilliseconds));
}

/** Returns the bytes that the tables of a record take, with space for its names. */
std::size_t encodedBytes(const Record &record)
{
    constexpr std::size_t overhead = 256;
    return static_cast<std::size_t>(record.input.size() + record.output.size()) + overhead;
}

/** As createBytes(), but omits the field if the bytes are empty. */
Offset<ByteVector> createOptionalBytes(FlatBufferBuilder &builder, const QByteArray &bytes)
{
    return bytes.isEmpty() ? Offset<ByteVector>() : createBytes(builder, bytes);
}

Offset<fb::Record> createRecord(FlatBufferBuilder &builder, const Record &record)
{
    const auto key = createBytes(builder, record.key);
    const auto program = createOptionalBytes(builder, record.program);
    const auto team = createOptionalBytes(builder, record.team);
    const auto parent = createOptionalBytes(builder, record.parent);
    const auto input = createOptionalBytes(builder, record.input);
    const auto output = createOptionalBytes(builder, record.output);
    const auto expires =
            std::chrono::duration_cast<milliseconds>(record.expires.time_since_epoch());
    return fb::CreateRecord(builder, static_cast<std::uint8_t>(record.kind), key, program, team,
                            parent, input, output, record.tokens, expires.count());
}

Record recordOf(const fb::Record &table)
{
    Record record;
    record.kind = static_cast<RecordKind>(table.kind());
    record.key = bytesOf(table.key());
    record.program = bytesOf(table.program());
    record.team = bytesOf(table.team());
    record.parent = bytesOf(table.parent());
    record.input = bytesOf(table.input());
    record.output = bytesOf(table.output());
    record.tokens = table.tokens();
    record.expires = system_clock::time_point(milliseconds(table.expires_ms()));
    return record;
}

fb::HistoryPosition positionOnWire(const HistoryPosition &position)
{
    return {position.turn, position.offset};
}

HistoryPosition positionFromWire(const fb::HistoryPosition &position)
{
    return {position.turn(), position.offset()};
}

std::uint64_t sizeOnWire(qsizetype bytes)
{
    return static_cast<std::uint64_t>(std::max<qsizetype>(bytes, 0));
}

/** Returns a size that a message states, which is no larger than a frame. */
qsizetype sizeFromWire(std::uint64_t bytes)
{
    return static_cast<qsizetype>(
            std::min(bytes, static_cast<std::uint64_t>(defaultFrameLimitBytes)));
}

Offset<fb::RecordKey> createRecordName(FlatBufferBuilder &builder, const RecordName &name)
{
    const auto key = createBytes(builder, name.key);
    const auto program = createOptionalBytes(builder, name.program);
    return fb::CreateRecordKey(builder, static_cast<std::uint8_t>(name.kind), key, program);
}

RecordName recordNameOf(const fb::RecordKey &table)
{
    return {static_cast<RecordKind>(table.kind()), bytesOf(table.key()), bytesOf(table.program())};
}

template <typename Table>
QByteArray finishedPayload(FlatBufferBuilder &builder, Offset<Table> root)
{
    builder.Finish(root);
    return payloadOf(builder);
}

} // namespace

QByteArray RecordsCodec::encodeRecord(const Record &record)
{
    FlatBufferBuilder builder(encodedBytes(record));
    return finishedPayload(builder, createRecord(builder, record));
}

std::optional<Record> RecordsCodec::decodeRecord(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::Record>(bytes);
    return table == nullptr ? std::nullopt : std::optional(recordOf(*table));
}

QByteArray RecordsCodec::encodeRecords(const std::vector<Record> &records)
{
    // Growing would copy the texts again each time.
    std::size_t bytes = 0;
    for (const Record &record : records)
        bytes += encodedBytes(record);
    FlatBufferBuilder builder(std::max<std::size_t>(bytes, 1));
    std::vector<Offset<fb::Record>> offsets;
    offsets.reserve(records.size());
    for (const Record &record : records)
        offsets.push_back(createRecord(builder, record));
    return finishedPayload(builder, fb::CreateWriteRecords(builder, builder.CreateVector(offsets)));
}

std::optional<std::vector<Record>> RecordsCodec::decodeRecords(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::WriteRecords>(bytes);
    if (table == nullptr)
        return std::nullopt;
    std::vector<Record> records;
    for (const fb::Record *record : *table->records())
        records.push_back(recordOf(*record));
    return records;
}

QByteArray RecordsCodec::encodeOpen(const OpenTurnMessage &message)
{
    FlatBufferBuilder builder;
    const auto reservation = message.reservation ? createRecord(builder, *message.reservation)
                                                 : Offset<fb::Record>();
    const auto team = createOptionalBytes(builder, message.team);
    const auto previous = createOptionalBytes(builder, message.previousTurn);
    return finishedPayload(builder, fb::CreateOpenTurn(builder, reservation, team, previous,
                                                       message.wantsHistory,
                                                       sizeOnWire(message.maximumHistoryBytes)));
}

std::optional<OpenTurnMessage> RecordsCodec::decodeOpen(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::OpenTurn>(bytes);
    if (table == nullptr)
        return std::nullopt;
    OpenTurnMessage message;
    if (table->reservation() != nullptr)
        message.reservation = recordOf(*table->reservation());
    message.team = bytesOf(table->team());
    message.previousTurn = bytesOf(table->previous_turn());
    message.wantsHistory = table->wants_history();
    message.maximumHistoryBytes = sizeFromWire(table->maximum_history_bytes());
    return message;
}

QByteArray RecordsCodec::encodeOpenReply(const OpenTurnReplyMessage &message)
{
    FlatBufferBuilder builder(message.history.size() + 512);
    std::vector<Offset<fb::Reservation>> offsets;
    for (const ReservationState &state : message.reservations)
        offsets.push_back(fb::CreateReservation(builder, createBytes(builder, state.key),
                                                state.tokens, state.settled));
    const auto reservations = builder.CreateVector(offsets);
    const auto history = createOptionalBytes(builder, message.history);
    return finishedPayload(
            builder, fb::CreateOpenTurnReply(builder, message.hasAllReservations, reservations,
                                             static_cast<std::uint8_t>(message.chain), history,
                                             message.historyInParts));
}

std::optional<OpenTurnReplyMessage> RecordsCodec::decodeOpenReply(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::OpenTurnReply>(bytes);
    if (table == nullptr)
        return std::nullopt;
    OpenTurnReplyMessage message;
    message.hasAllReservations = table->synced();
    if (table->reservations() != nullptr) {
        for (const fb::Reservation *state : *table->reservations())
            message.reservations.push_back(
                    {bytesOf(state->key()), state->tokens(), state->settled()});
    }
    message.chain = static_cast<ChainStatus>(table->chain());
    message.history = bytesOf(table->history());
    message.historyInParts = table->history_in_parts();
    return message;
}

QByteArray RecordsCodec::encodeHistoryPartRequest(const HistoryPartRequestMessage &message)
{
    FlatBufferBuilder builder;
    const auto team = createOptionalBytes(builder, message.team);
    const auto previous = createBytes(builder, message.previousTurn);
    const fb::HistoryPosition from = positionOnWire(message.from);
    return finishedPayload(builder, fb::CreateHistoryPartRequest(builder, team, previous, &from,
                                                                 sizeOnWire(message.maximumBytes)));
}

std::optional<HistoryPartRequestMessage>
RecordsCodec::decodeHistoryPartRequest(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::HistoryPartRequest>(bytes);
    if (table == nullptr)
        return std::nullopt;
    return HistoryPartRequestMessage{bytesOf(table->team()), bytesOf(table->previous_turn()),
                                     positionFromWire(*table->from()),
                                     sizeFromWire(table->maximum_bytes())};
}

QByteArray RecordsCodec::encodeHistoryPart(const HistoryPartMessage &message)
{
    FlatBufferBuilder builder(message.bytes.size() + 512);
    const auto text = createOptionalBytes(builder, message.bytes);
    const fb::HistoryPosition from = positionOnWire(message.from);
    const fb::HistoryPosition next = positionOnWire(message.next);
    return finishedPayload(builder,
                           fb::CreateHistoryPart(builder, static_cast<std::uint8_t>(message.chain),
                                                 &from, text, &next, message.atEnd));
}

std::optional<HistoryPartMessage> RecordsCodec::decodeHistoryPart(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::HistoryPart>(bytes);
    if (table == nullptr)
        return std::nullopt;
    return HistoryPartMessage{static_cast<ChainStatus>(table->chain()),
                              positionFromWire(*table->from()), bytesOf(table->bytes()),
                              positionFromWire(*table->next()), table->at_end()};
}

QByteArray RecordsCodec::encodeNotice(const QByteArray &viewDocument)
{
    FlatBufferBuilder builder;
    return finishedPayload(builder,
                           fb::CreateViewNotice(builder, createBytes(builder, viewDocument)));
}

std::optional<QByteArray> RecordsCodec::decodeNotice(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::ViewNotice>(bytes);
    return table == nullptr ? std::nullopt : std::optional(bytesOf(table->document()));
}

QByteArray RecordsCodec::encodePull(const PullKeysMessage &message)
{
    FlatBufferBuilder builder;
    const auto silent = builder.CreateVector(message.silentDisks);
    return finishedPayload(builder,
                           fb::CreatePullKeys(builder, message.after, message.complete, silent));
}

std::optional<PullKeysMessage> RecordsCodec::decodePull(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::PullKeys>(bytes);
    if (table == nullptr)
        return std::nullopt;
    PullKeysMessage message{table->after(), table->complete(), {}};
    if (table->silent() != nullptr)
        message.silentDisks.assign(table->silent()->begin(), table->silent()->end());
    return message;
}

QByteArray RecordsCodec::encodePullReply(const PullKeysReplyMessage &message)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::RecordKey>> offsets;
    offsets.reserve(message.names.size());
    for (const RecordName &name : message.names)
        offsets.push_back(createRecordName(builder, name));
    return finishedPayload(builder, fb::CreatePullKeysReply(builder, builder.CreateVector(offsets),
                                                            message.next, message.atEnd,
                                                            message.foundSilent));
}

std::optional<PullKeysReplyMessage> RecordsCodec::decodePullReply(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::PullKeysReply>(bytes);
    if (table == nullptr)
        return std::nullopt;
    PullKeysReplyMessage message;
    if (table->keys() != nullptr) {
        for (const fb::RecordKey *name : *table->keys())
            message.names.push_back(recordNameOf(*name));
    }
    message.next = table->next();
    message.atEnd = table->at_end();
    message.foundSilent = table->found_silent();
    return message;
}

QByteArray RecordsCodec::encodeFetch(const std::vector<RecordName> &names)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::RecordKey>> offsets;
    offsets.reserve(names.size());
    for (const RecordName &name : names)
        offsets.push_back(createRecordName(builder, name));
    return finishedPayload(builder, fb::CreateFetchRecords(builder, builder.CreateVector(offsets)));
}

std::optional<std::vector<RecordName>> RecordsCodec::decodeFetch(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::FetchRecords>(bytes);
    if (table == nullptr)
        return std::nullopt;
    std::vector<RecordName> names;
    for (const fb::RecordKey *name : *table->keys())
        names.push_back(recordNameOf(*name));
    return names;
}

QByteArray RecordsCodec::encodeGrant(const GrantTokensMessage &message)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::TeamDemand>> offsets;
    for (const TeamDemandMessage &demand : message.demands)
        offsets.push_back(fb::CreateTeamDemand(builder, createBytes(builder, demand.team),
                                               demand.requestsPerSecond, demand.burst,
                                               demand.wanted, demand.reserve));
    return finishedPayload(builder, fb::CreateGrantTokens(builder, builder.CreateVector(offsets),
                                                          message.configurationVersion));
}

std::optional<GrantTokensMessage> RecordsCodec::decodeGrant(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::GrantTokens>(bytes);
    if (table == nullptr)
        return std::nullopt;
    GrantTokensMessage message;
    message.configurationVersion = table->configuration_version();
    for (const fb::TeamDemand *demand : *table->demands())
        message.demands.push_back({bytesOf(demand->team()), demand->rate(), demand->burst(),
                                   demand->wanted(), demand->reserve()});
    return message;
}

QByteArray RecordsCodec::encodeGrantReply(const GrantTokensReplyMessage &message)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::TeamGrant>> offsets;
    for (const TeamGrantMessage &grant : message.grants)
        offsets.push_back(fb::CreateTeamGrant(
                builder, createBytes(builder, grant.team), grant.granted,
                static_cast<int>(grant.retryAfter.count()), !grant.isHolder, grant.contenders));
    return finishedPayload(builder,
                           fb::CreateGrantTokensReply(builder, builder.CreateVector(offsets),
                                                      message.configurationVersion));
}

std::optional<GrantTokensReplyMessage> RecordsCodec::decodeGrantReply(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::GrantTokensReply>(bytes);
    if (table == nullptr)
        return std::nullopt;
    GrantTokensReplyMessage message;
    message.configurationVersion = table->configuration_version();
    if (table->grants() != nullptr) {
        for (const fb::TeamGrant *grant : *table->grants())
            message.grants.push_back({bytesOf(grant->team()), grant->granted(),
                                      milliseconds(grant->retry_after_ms()), !grant->not_holder(),
                                      grant->contenders()});
    }
    return message;
}

QByteArray RecordsCodec::encodeCrash(const CrashCoincidence &message)
{
    FlatBufferBuilder builder;
    const auto digest = createBytes(builder, message.contentDigest);
    const auto turn = createOptionalBytes(builder, message.turnDigest);
    return finishedPayload(
            builder, fb::CreateCrashNotice(
                             builder, digest, builder.CreateString(message.crash.toStdString()),
                             message.sinceSent.count(), message.sinceCrash.count(), turn));
}

std::optional<CrashCoincidence> RecordsCodec::decodeCrash(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::CrashNotice>(bytes);
    if (table == nullptr)
        return std::nullopt;
    return CrashCoincidence{bytesOf(table->digest()), QString::fromStdString(table->crash()->str()),
                            noticeAge(table->since_sent_ms()), noticeAge(table->since_crash_ms()),
                            bytesOf(table->turn())};
}

QByteArray RecordsCodec::encodeConfiguration(const ConfigurationDocumentMessage &message)
{
    FlatBufferBuilder builder;
    return finishedPayload(builder,
                           fb::CreateConfigurationDocument(builder, message.version,
                                                           createBytes(builder, message.document)));
}

std::optional<ConfigurationDocumentMessage>
RecordsCodec::decodeConfiguration(const QByteArray &bytes)
{
    const auto *table = verifiedTable<fb::ConfigurationDocument>(bytes);
    if (table == nullptr)
        return std::nullopt;
    return ConfigurationDocumentMessage{table->version(), bytesOf(table->document())};
}

} // namespace lacewingmux
