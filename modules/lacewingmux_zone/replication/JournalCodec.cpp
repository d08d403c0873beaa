#include "lacewingmux_zone/replication/JournalCodec.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"
#include "lacewingmux_zone/messages/zone_generated.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

QByteArray toBytes(const Builder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
            static_cast<qsizetype>(builder.GetSize())};
}

template <typename Table>
const Table &verified(const QByteArray &payload)
{
    const Table *table = verifiedTable<Table>(payload);
    if (table == nullptr)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("malformed journal message"));
    return *table;
}

SlotIndex checkedSlot(std::uint16_t slot)
{
    if (slot >= slotsPerZone)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("slot number out of range"));
    return slot;
}

QString toString(const flatbuffers::String *text)
{
    return QString::fromUtf8(text->c_str(), static_cast<qsizetype>(text->size()));
}

flatbuffers::Offset<flatbuffers::String> addString(Builder &builder, const QString &text)
{
    const QByteArray utf8 = text.toUtf8();
    return builder.CreateString(utf8.constData(), static_cast<std::size_t>(utf8.size()));
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> addBytes(Builder &builder,
                                                                const QByteArray &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.constData()),
                                static_cast<std::size_t>(bytes.size()));
}

QByteArray toByteArray(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    if (bytes == nullptr)
        return {};
    return {reinterpret_cast<const char *>(bytes->data()), static_cast<qsizetype>(bytes->size())};
}

flatbuffers::Offset<fb::AggregateKey> addKey(Builder &builder, const AggregateId &aggregate)
{
    const auto zone = addString(builder, aggregate.zone());
    const auto name = addString(builder, aggregate.name());
    return fb::CreateAggregateKey(builder, static_cast<std::uint8_t>(aggregate.kind()), zone, name);
}

AggregateId toAggregateId(const fb::AggregateKey &key)
{
    if (key.kind() > static_cast<std::uint8_t>(AggregateKind::PowerAllowance))
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("unknown kind of aggregate"));
    return {static_cast<AggregateKind>(key.kind()), toString(key.zone()), toString(key.name())};
}

fb::SlotPosition toFlat(const SlotPosition &position)
{
    return {position.activation, position.sequence, position.completeSince,
            position.newestActivation};
}

SlotPosition fromFlat(const fb::SlotPosition &position)
{
    return {position.activation(), position.sequence(), position.complete_since(),
            position.newest_activation()};
}

flatbuffers::Offset<fb::AggregateEntries> addRecord(Builder &builder, const AggregateRecord &record)
{
    std::vector<flatbuffers::Offset<fb::Entry>> entries;
    entries.reserve(record.entries.size());
    for (const QByteArray &entry : record.entries)
        entries.push_back(fb::CreateEntry(builder, addBytes(builder, entry)));
    const auto key = addKey(builder, record.id);
    return fb::CreateAggregateEntries(builder, key, builder.CreateVector(entries));
}

AggregateRecord toRecord(const fb::AggregateEntries &flat)
{
    AggregateRecord record{toAggregateId(*flat.aggregate()), {}};
    record.entries.reserve(flat.entries()->size());
    for (const fb::Entry *entry : *flat.entries())
        record.entries.push_back(toByteArray(entry->bytes()));
    return record;
}

flatbuffers::Offset<fb::StatePiece> addPiece(Builder &builder, const StatePiece &piece)
{
    std::vector<flatbuffers::Offset<fb::AggregateEntries>> records;
    records.reserve(piece.records.size());
    for (const AggregateRecord &record : piece.records)
        records.push_back(addRecord(builder, record));
    const auto offsets = builder.CreateVector(records);
    const fb::SlotPosition position = toFlat(piece.position);
    return fb::CreateStatePiece(builder, piece.slot, piece.piece, piece.last, piece.keep,
                                piece.keptActivation, &position, offsets);
}

StatePiece toPiece(const fb::StatePiece &flat)
{
    StatePiece piece{checkedSlot(flat.slot()),
                     flat.piece(),
                     flat.last(),
                     flat.keep(),
                     flat.kept_activation(),
                     fromFlat(*flat.position()),
                     {}};
    piece.records.reserve(flat.records()->size());
    for (const fb::AggregateEntries *record : *flat.records())
        piece.records.push_back(toRecord(*record));
    return piece;
}

flatbuffers::Offset<fb::AppendEntry> addEntry(Builder &builder, const AppendEntry &entry)
{
    const bool isConfirmation = entry.change.kind == ChangeKind::Confirm;
    const auto key = isConfirmation ? 0 : addKey(builder, entry.change.aggregate);
    const auto bytes = isConfirmation ? 0 : addBytes(builder, entry.change.entry);
    return fb::CreateAppendEntry(builder, entry.slot, entry.activation, entry.sequence,
                                 static_cast<fb::ChangeKind>(entry.change.kind), key, bytes);
}

AppendEntry toEntry(const fb::AppendEntry &flat)
{
    if (flat.change() > fb::ChangeKind_MAX)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("unknown kind of change"));
    AppendEntry entry{checkedSlot(flat.slot()), flat.activation(), flat.sequence(), {}};
    entry.change.kind = static_cast<ChangeKind>(flat.change());
    if (entry.change.kind == ChangeKind::Confirm)
        return entry;
    if (flat.aggregate() == nullptr)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("journal entry without an aggregate"));
    entry.change.aggregate = toAggregateId(*flat.aggregate());
    entry.change.entry = toByteArray(flat.entry());
    return entry;
}

std::vector<SlotIndex> toSlots(const flatbuffers::Vector<std::uint16_t> &flat)
{
    std::vector<SlotIndex> slots;
    slots.reserve(flat.size());
    for (const std::uint16_t slot : flat)
        slots.push_back(checkedSlot(slot));
    return slots;
}

} // namespace

QByteArray JournalCodec::encodeSurvey(const std::vector<SlotIndex> &slots)
{
    Builder builder;
    builder.Finish(fb::CreateSlotSurvey(builder, builder.CreateVector(slots)));
    return toBytes(builder);
}

std::vector<SlotIndex> JournalCodec::decodeSurvey(const QByteArray &payload)
{
    return toSlots(*verified<fb::SlotSurvey>(payload).slots());
}

QByteArray JournalCodec::encodeAnswers(const std::vector<SurveyAnswer> &answers)
{
    Builder builder;
    std::vector<fb::SurveyAnswer> flat;
    flat.reserve(answers.size());
    for (const SurveyAnswer &answer : answers)
        flat.emplace_back(answer.slot, toFlat(answer.position));
    builder.Finish(fb::CreateSlotSurveyReply(builder, builder.CreateVectorOfStructs(flat)));
    return toBytes(builder);
}

std::vector<SurveyAnswer> JournalCodec::decodeAnswers(const QByteArray &payload)
{
    std::vector<SurveyAnswer> answers;
    for (const fb::SurveyAnswer *answer : *verified<fb::SlotSurveyReply>(payload).answers())
        answers.push_back({checkedSlot(answer->slot()), fromFlat(answer->position())});
    return answers;
}

QByteArray JournalCodec::encodeRequests(const std::vector<StateRequest> &requests)
{
    Builder builder;
    std::vector<fb::StateRequest> flat;
    flat.reserve(requests.size());
    for (const StateRequest &request : requests)
        flat.emplace_back(request.slot, request.piece, request.activation);
    builder.Finish(fb::CreateSlotSync(builder, builder.CreateVectorOfStructs(flat)));
    return toBytes(builder);
}

std::vector<StateRequest> JournalCodec::decodeRequests(const QByteArray &payload)
{
    std::vector<StateRequest> requests;
    for (const fb::StateRequest *request : *verified<fb::SlotSync>(payload).requests())
        requests.push_back({checkedSlot(request->slot()), request->piece(), request->activation()});
    return requests;
}

QByteArray JournalCodec::encodePieces(const std::vector<StatePiece> &pieces)
{
    Builder builder;
    std::vector<flatbuffers::Offset<fb::StatePiece>> flat;
    flat.reserve(pieces.size());
    for (const StatePiece &piece : pieces)
        flat.push_back(addPiece(builder, piece));
    builder.Finish(fb::CreateSlotState(builder, builder.CreateVector(flat)));
    return toBytes(builder);
}

std::vector<StatePiece> JournalCodec::decodePieces(const QByteArray &payload)
{
    std::vector<StatePiece> pieces;
    for (const fb::StatePiece *piece : *verified<fb::SlotState>(payload).pieces())
        pieces.push_back(toPiece(*piece));
    return pieces;
}

QByteArray JournalCodec::encodeStateAcks(const std::vector<StateAck> &acks)
{
    Builder builder;
    std::vector<fb::StateAck> flat;
    flat.reserve(acks.size());
    for (const StateAck &ack : acks)
        flat.emplace_back(ack.slot, ack.nextPiece, ack.installed, ack.refused, ack.activation,
                          ack.sequence);
    builder.Finish(fb::CreateSlotStateAck(builder, builder.CreateVectorOfStructs(flat)));
    return toBytes(builder);
}

std::vector<StateAck> JournalCodec::decodeStateAcks(const QByteArray &payload)
{
    std::vector<StateAck> acks;
    for (const fb::StateAck *ack : *verified<fb::SlotStateAck>(payload).acks())
        acks.push_back({checkedSlot(ack->slot()), ack->next_piece(), ack->installed(),
                        ack->refused(), ack->activation(), ack->sequence()});
    return acks;
}

QByteArray JournalCodec::encodeAppends(const std::vector<AppendEntry> &entries)
{
    Builder builder;
    std::vector<flatbuffers::Offset<fb::AppendEntry>> flat;
    flat.reserve(entries.size());
    for (const AppendEntry &entry : entries)
        flat.push_back(addEntry(builder, entry));
    builder.Finish(fb::CreateJournalAppend(builder, builder.CreateVector(flat)));
    return toBytes(builder);
}

std::vector<AppendEntry> JournalCodec::decodeAppends(const QByteArray &payload)
{
    std::vector<AppendEntry> entries;
    for (const fb::AppendEntry *entry : *verified<fb::JournalAppend>(payload).entries())
        entries.push_back(toEntry(*entry));
    return entries;
}

QByteArray JournalCodec::encodeAppendAcks(const std::vector<AppendAck> &acks)
{
    Builder builder;
    std::vector<fb::AppendAck> flat;
    flat.reserve(acks.size());
    for (const AppendAck &ack : acks)
        flat.emplace_back(ack.slot, ack.resend, ack.activation, ack.sequence);
    builder.Finish(fb::CreateJournalAck(builder, builder.CreateVectorOfStructs(flat)));
    return toBytes(builder);
}

std::vector<AppendAck> JournalCodec::decodeAppendAcks(const QByteArray &payload)
{
    std::vector<AppendAck> acks;
    for (const fb::AppendAck *ack : *verified<fb::JournalAck>(payload).acks())
        acks.push_back(
                {checkedSlot(ack->slot()), ack->resend(), ack->activation(), ack->sequence()});
    return acks;
}

QByteArray JournalCodec::encodeActivated(const std::vector<ActivatedSlot> &activated)
{
    Builder builder;
    std::vector<fb::ActivatedSlot> flat;
    flat.reserve(activated.size());
    for (const ActivatedSlot &slot : activated)
        flat.emplace_back(slot.slot, slot.activation);
    builder.Finish(fb::CreateSlotActivated(builder, builder.CreateVectorOfStructs(flat)));
    return toBytes(builder);
}

std::vector<ActivatedSlot> JournalCodec::decodeActivated(const QByteArray &payload)
{
    std::vector<ActivatedSlot> activated;
    for (const fb::ActivatedSlot *slot : *verified<fb::SlotActivated>(payload).slots())
        activated.push_back({checkedSlot(slot->slot()), slot->activation()});
    return activated;
}

QByteArray JournalCodec::encodeActivatedRequest(const std::vector<SlotIndex> &slots)
{
    Builder builder;
    builder.Finish(fb::CreateSlotActivatedRequest(builder, builder.CreateVector(slots)));
    return toBytes(builder);
}

std::vector<SlotIndex> JournalCodec::decodeActivatedRequest(const QByteArray &payload)
{
    return toSlots(*verified<fb::SlotActivatedRequest>(payload).slots());
}

} // namespace lacewingmux
