#include "lacewingmux_http/forward/ForwardCodec.h"

#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_http/messages/forward_generated.h"
#include "lacewingmux_peer/messages/FlatBufferPayload.h"

#include <QString>

#include <utility>

namespace lacewingmux {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Bytes = flatbuffers::Vector<std::uint8_t>;
using Headers = flatbuffers::Vector<flatbuffers::Offset<fb::ForwardedHeader>>;

constexpr std::chrono::milliseconds longestTimeout{3600000};

auto bytesInto(Builder &builder, const QByteArray &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.constData()),
                                static_cast<std::size_t>(bytes.size()));
}

auto textInto(Builder &builder, const QString &text)
{
    const QByteArray bytes = text.toUtf8();
    return builder.CreateString(bytes.constData(), static_cast<std::size_t>(bytes.size()));
}

auto headersInto(Builder &builder, const std::vector<HttpHeader> &headers)
{
    std::vector<flatbuffers::Offset<fb::ForwardedHeader>> offsets;
    offsets.reserve(headers.size());
    for (const HttpHeader &header : headers) {
        const auto name = bytesInto(builder, header.name);
        const auto value = bytesInto(builder, header.value);
        offsets.push_back(fb::CreateForwardedHeader(builder, name, value));
    }
    return builder.CreateVector(offsets);
}

QString textOf(const flatbuffers::String *text)
{
    if (text == nullptr)
        return {};
    return QString::fromUtf8(text->c_str(), static_cast<qsizetype>(text->size()));
}

std::vector<HttpHeader> headersOf(const Headers *headers)
{
    std::vector<HttpHeader> read;
    if (headers == nullptr)
        return read;
    read.reserve(headers->size());
    for (const fb::ForwardedHeader *header : *headers)
        read.push_back({bytesOf(header->name()), bytesOf(header->value())});
    return read;
}

} // namespace

QByteArray encode(const OwnerRequest &request)
{
    Builder builder(static_cast<std::size_t>(request.body.size()) + 1024);
    const auto team = textInto(builder, request.team);
    const auto keyId = textInto(builder, request.keyId);
    const auto programId = textInto(builder, request.programId);
    const auto route = textInto(builder, request.route);
    const auto idempotencyKey = textInto(builder, request.idempotencyKey);
    const auto method = bytesInto(builder, request.method);
    const auto path = bytesInto(builder, request.path);
    const auto headers = headersInto(builder, request.headers);
    const auto body = bytesInto(builder, request.body);
    builder.Finish(fb::CreateForwardedRequest(
            builder, static_cast<std::uint8_t>(request.operation), team, keyId, programId,
            request.callNumber, route, idempotencyKey, method, path, headers, body, request.stream,
            request.timeout.count(), request.byOperator));
    return payloadOf(builder);
}

QByteArray encode(const ForwardedHead &head)
{
    Builder builder;
    const auto headers = headersInto(builder, head.headers);
    builder.Finish(fb::CreateForwardedHead(builder, head.httpStatus, headers));
    return payloadOf(builder);
}

QByteArray encode(const ForwardedChunk &chunk)
{
    Builder builder(static_cast<std::size_t>(chunk.bytes.size()) + 64);
    const auto bytes = bytesInto(builder, chunk.bytes);
    builder.Finish(fb::CreateForwardedChunk(builder, chunk.sequence, bytes));
    return payloadOf(builder);
}

QByteArray encode(const ForwardedEnd &end)
{
    Builder builder;
    builder.Finish(fb::CreateForwardedEnd(builder, end.chunkCount));
    return payloadOf(builder);
}

QByteArray encode(const LacewingmuxError &error)
{
    Builder builder;
    const auto kind = builder.CreateString(answerFor(error.kind()).name);
    const auto message = textInto(builder, error.message());
    builder.Finish(fb::CreateForwardedError(builder, kind, message,
                                            static_cast<std::uint8_t>(error.executed()),
                                            error.retryAfter().count()));
    return payloadOf(builder);
}

std::optional<OwnerRequest> decodeOwnerRequest(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ForwardedRequest>(payload);
    if (table == nullptr
        || table->operation() > static_cast<std::uint8_t>(OwnerOperation::ChatCompletion)
        || table->timeout_milliseconds() < 0
        || table->timeout_milliseconds() > longestTimeout.count())
        return std::nullopt;
    OwnerRequest request;
    request.operation = static_cast<OwnerOperation>(table->operation());
    request.team = textOf(table->team());
    request.keyId = textOf(table->key_id());
    request.programId = textOf(table->program_id());
    request.callNumber = table->call_number();
    request.route = textOf(table->route());
    request.idempotencyKey = textOf(table->idempotency_key());
    request.method = bytesOf(table->method());
    request.path = bytesOf(table->path());
    request.headers = headersOf(table->headers());
    request.body = bytesOf(table->body());
    request.stream = table->stream();
    request.timeout = std::chrono::milliseconds(table->timeout_milliseconds());
    request.byOperator = table->by_operator();
    return request;
}

std::optional<ForwardedHead> decodeForwardedHead(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ForwardedHead>(payload);
    if (table == nullptr)
        return std::nullopt;
    return ForwardedHead{table->http_status(), headersOf(table->headers())};
}

std::optional<ForwardedChunk> decodeForwardedChunk(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ForwardedChunk>(payload);
    if (table == nullptr)
        return std::nullopt;
    return ForwardedChunk{table->sequence(), bytesOf(table->bytes())};
}

std::optional<ForwardedEnd> decodeForwardedEnd(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ForwardedEnd>(payload);
    if (table == nullptr)
        return std::nullopt;
    return ForwardedEnd{table->chunk_count()};
}

std::optional<LacewingmuxError> decodeForwardedError(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::ForwardedError>(payload);
    if (table == nullptr || table->executed() > static_cast<std::uint8_t>(Executed::Yes)
        || table->retry_after_milliseconds() < 0)
        return std::nullopt;
    const ErrorKind kind =
            errorKindFromName(textOf(table->kind())).value_or(ErrorKind::InternalError);
    return LacewingmuxError(kind, textOf(table->message()),
                            static_cast<Executed>(table->executed()),
                            std::chrono::milliseconds(table->retry_after_milliseconds()));
}

} // namespace lacewingmux
