#include "lacewingmux_program/events/EventCodec.h"

#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_program/messages/program_generated.h"

namespace lacewingmux {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

using HeaderOffsets = Offset<flatbuffers::Vector<Offset<fb::HeaderField>>>;

std::int64_t toMicroseconds(EventTime time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

EventTime toEventTime(std::int64_t microseconds)
{
    return EventTime(std::chrono::duration_cast<EventTime::duration>(
            std::chrono::microseconds(microseconds)));
}

Offset<flatbuffers::String> write(FlatBufferBuilder &builder, const QString &text)
{
    const QByteArray utf8 = text.toUtf8();
    return builder.CreateString(utf8.constData(), static_cast<std::size_t>(utf8.size()));
}

Offset<flatbuffers::String> write(FlatBufferBuilder &builder, const QByteArray &text)
{
    return builder.CreateString(text.constData(), static_cast<std::size_t>(text.size()));
}

Offset<flatbuffers::Vector<std::uint8_t>> writeBytes(FlatBufferBuilder &builder,
                                                     const QByteArray &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.constData()),
                                static_cast<std::size_t>(bytes.size()));
}

Offset<fb::PackedBytes> write(FlatBufferBuilder &builder, const PackedBytes &bytes)
{
    return fb::CreatePackedBytes(builder, writeBytes(builder, bytes.stored()),
                                 bytes.isCompressed());
}

HeaderOffsets write(FlatBufferBuilder &builder, const std::vector<HttpHeader> &headers)
{
    std::vector<Offset<fb::HeaderField>> fields;
    fields.reserve(headers.size());
    for (const HttpHeader &header : headers)
        fields.push_back(fb::CreateHeaderField(builder, write(builder, header.name),
                                               write(builder, header.value)));
    return builder.CreateVector(fields);
}

QByteArray readBytes(const flatbuffers::String *text)
{
    return text == nullptr ? QByteArray() : QByteArray(text->c_str(), text->size());
}

QString readText(const flatbuffers::String *text)
{
    return text == nullptr ? QString() : QString::fromUtf8(text->c_str(), text->size());
}

QByteArray readBytes(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    if (bytes == nullptr)
        return {};
    return {reinterpret_cast<const char *>(bytes->data()), static_cast<qsizetype>(bytes->size())};
}

PackedBytes readPacked(const fb::PackedBytes *bytes)
{
    if (bytes == nullptr)
        return {};
    return PackedBytes::fromStored(readBytes(bytes->data()), bytes->compressed());
}

std::vector<HttpHeader> readHeaders(const flatbuffers::Vector<Offset<fb::HeaderField>> *fields)
{
    std::vector<HttpHeader> headers;
    if (fields == nullptr)
        return headers;
    headers.reserve(fields->size());
    for (const fb::HeaderField *field : *fields)
        headers.push_back({readBytes(field->name()), readBytes(field->value())});
    return headers;
}

ErrorKind readKind(const flatbuffers::String *name)
{
    return errorKindFromName(readText(name)).value_or(ErrorKind::InternalError);
}

Executed readExecuted(std::uint8_t value)
{
    switch (value) {
    case static_cast<std::uint8_t>(Executed::No):
        return Executed::No;
    case static_cast<std::uint8_t>(Executed::Yes):
        return Executed::Yes;
    default:
        return Executed::Unknown;
    }
}

/** Visitor for std::visit that encodes each type of event. */
struct EventWriter
{
    FlatBufferBuilder &builder;

    Offset<fb::EventRecord> record(fb::Event type, Offset<void> event) const
    {
        return fb::CreateEventRecord(this->builder, type, event);
    }

    Offset<fb::EventRecord> operator()(const ProgramOpened &event) const
    {
        const auto table = fb::CreateProgramOpened(
                this->builder, write(this->builder, event.program),
                write(this->builder, event.team), write(this->builder, event.keyId),
                event.budgetTokens, event.turnLimit, event.timeout.count(),
                event.idleTimeout.count(), event.chargedTokens, toMicroseconds(event.at));
        return this->record(fb::Event_ProgramOpened, table.Union());
    }

    Offset<fb::EventRecord> operator()(const SubAgentOpened &event) const
    {
        const auto table =
                fb::CreateSubAgentOpened(this->builder, write(this->builder, event.subAgent),
                                         event.parent, toMicroseconds(event.at));
        return this->record(fb::Event_SubAgentOpened, table.Union());
    }

    Offset<fb::EventRecord> operator()(const CallStarted &event) const
    {
        const auto table = fb::CreateCallStarted(
                this->builder, event.agent, event.number, writeBytes(this->builder, event.digest),
                write(this->builder, event.route), write(this->builder, event.keyId), event.model,
                event.idempotent, event.reservedTokens, event.maxOutputTokens,
                write(this->builder, event.method), write(this->builder, event.path),
                write(this->builder, event.headers), write(this->builder, event.body),
                toMicroseconds(event.at));
        return this->record(fb::Event_CallStarted, table.Union());
    }

    Offset<fb::EventRecord> operator()(const CallFinished &event) const
    {
        const auto error = this->builder.CreateString(answerFor(event.error).name);
        const auto table = fb::CreateCallFinished(
                this->builder, event.agent, event.number, event.completed, error,
                write(this->builder, event.message), static_cast<std::uint8_t>(event.executed),
                event.httpStatus, write(this->builder, event.headers),
                write(this->builder, event.body), event.chargedTokens, event.prefixTokens,
                write(this->builder, event.replica), write(this->builder, event.zone),
                toMicroseconds(event.at));
        return this->record(fb::Event_CallFinished, table.Union());
    }

    Offset<fb::EventRecord> operator()(const CallReleased &event) const
    {
        const auto table = fb::CreateCallReleased(this->builder, event.agent, event.number,
                                                  static_cast<std::uint8_t>(event.executed),
                                                  event.chargedTokens, toMicroseconds(event.at));
        return this->record(fb::Event_CallReleased, table.Union());
    }

    Offset<fb::EventRecord> operator()(const ProgramEnded &event) const
    {
        const auto reason = this->builder.CreateString(answerFor(event.reason).name);
        const auto table = fb::CreateProgramEnded(this->builder, event.agent, reason,
                                                  toMicroseconds(event.at));
        return this->record(fb::Event_ProgramEnded, table.Union());
    }

    Offset<fb::EventRecord> operator()(const MemoryReleased &event) const
    {
        const auto table =
                fb::CreateMemoryReleased(this->builder, event.agent, toMicroseconds(event.at));
        return this->record(fb::Event_MemoryReleased, table.Union());
    }
};

ProgramEvent read(const fb::ProgramOpened &table)
{
    return ProgramOpened{readText(table.program()),
                         readText(table.team()),
                         readText(table.key_id()),
                         table.budget_tokens(),
                         table.turn_limit(),
                         std::chrono::seconds(table.timeout_s()),
                         std::chrono::seconds(table.idle_timeout_s()),
                         table.charged_tokens(),
                         toEventTime(table.at_us())};
}

ProgramEvent read(const fb::CallStarted &table)
{
    return CallStarted{table.agent(),
                       table.number(),
                       readBytes(table.digest()),
                       readText(table.route()),
                       readText(table.key_id()),
                       table.model(),
                       table.idempotent(),
                       table.reserved_tokens(),
                       table.max_output_tokens(),
                       readBytes(table.method()),
                       readBytes(table.path()),
                       readHeaders(table.headers()),
                       readPacked(table.body()),
                       toEventTime(table.at_us())};
}

ProgramEvent read(const fb::CallFinished &table)
{
    return CallFinished{table.agent(),
                        table.number(),
                        table.completed(),
                        readKind(table.error()),
                        readText(table.message()),
                        readExecuted(table.executed()),
                        table.http_status(),
                        readHeaders(table.headers()),
                        readPacked(table.body()),
                        table.charged_tokens(),
                        table.prefix_tokens(),
                        readText(table.replica()),
                        readText(table.zone()),
                        toEventTime(table.at_us())};
}

ProgramEvent read(const fb::EventRecord &record)
{
    switch (record.event_type()) {
    case fb::Event_ProgramOpened:
        return read(*record.event_as_ProgramOpened());
    case fb::Event_SubAgentOpened: {
        const auto *table = record.event_as_SubAgentOpened();
        return SubAgentOpened{readText(table->sub_agent()), table->parent(),
                              toEventTime(table->at_us())};
    }
    case fb::Event_CallStarted:
        return read(*record.event_as_CallStarted());
    case fb::Event_CallFinished:
        return read(*record.event_as_CallFinished());
    case fb::Event_CallReleased: {
        const auto *table = record.event_as_CallReleased();
        return CallReleased{table->agent(), table->number(), readExecuted(table->executed()),
                            table->charged_tokens(), toEventTime(table->at_us())};
    }
    case fb::Event_ProgramEnded: {
        const auto *table = record.event_as_ProgramEnded();
        return ProgramEnded{table->agent(), readKind(table->reason()), toEventTime(table->at_us())};
    }
    case fb::Event_MemoryReleased: {
        const auto *table = record.event_as_MemoryReleased();
        return MemoryReleased{table->agent(), toEventTime(table->at_us())};
    }
    default:
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("journal entry holds an unknown event"));
    }
}

} // namespace

QByteArray encodeEvents(const std::vector<ProgramEvent> &events)
{
    FlatBufferBuilder builder;
    std::vector<Offset<fb::EventRecord>> records;
    records.reserve(events.size());
    for (const ProgramEvent &event : events)
        records.push_back(std::visit(EventWriter{builder}, event));
    builder.Finish(
            fb::CreateJournalEntry(builder, journalEntryVersion, builder.CreateVector(records)));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
            static_cast<qsizetype>(builder.GetSize())};
}

std::vector<ProgramEvent> decodeEvents(const QByteArray &entry)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(entry.constData());
    flatbuffers::Verifier verifier(bytes, static_cast<std::size_t>(entry.size()));
    if (!fb::VerifyJournalEntryBuffer(verifier))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("journal entry is damaged"));
    const fb::JournalEntry *root = fb::GetJournalEntry(bytes);
    if (root->version() > journalEntryVersion)
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("journal entry was written by a later version"));
    std::vector<ProgramEvent> events;
    if (root->events() == nullptr)
        return events;
    events.reserve(root->events()->size());
    for (const fb::EventRecord *record : *root->events())
        events.push_back(read(*record));
    return events;
}

} // namespace lacewingmux
