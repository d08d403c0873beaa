#include "lacewingmux_allowance/messages/GrantCodec.h"

#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"

#include <cmath>

namespace lacewingmux {

namespace {

fb::GrantOutcome toTable(GrantOutcome outcome)
{
    return static_cast<fb::GrantOutcome>(outcome);
}

std::optional<GrantOutcome> fromTable(fb::GrantOutcome outcome)
{
    if (outcome > fb::GrantOutcome_MAX)
        return std::nullopt;
    return static_cast<GrantOutcome>(outcome);
}

bool isAmount(double amount)
{
    return std::isfinite(amount) && amount >= 0;
}

} // namespace

QByteArray encode(const GrantRequest &message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto team = textInto(builder, message.team);
    std::vector<flatbuffers::Offset<fb::Settlement>> settlements;
    for (const Settlement &settlement : message.settlements)
        settlements.push_back(fb::CreateSettlement(builder, settlement.grantId, settlement.unused));
    const auto settlementVector = builder.CreateVector(settlements);
    builder.Finish(fb::CreateGrantRequest(builder, team, message.needed, message.wanted,
                                          message.arrivals, settlementVector));
    return bytesOf(builder);
}

QByteArray encode(const GrantReply &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreateGrantReply(builder, toTable(message.outcome), message.grantId,
                                        message.granted, message.level.tokens,
                                        message.level.tokensPerSecond, message.level.burstTokens));
    return bytesOf(builder);
}

QByteArray encode(const PowerRequest &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreatePowerRequest(builder, message.sequence, message.totalWatts));
    return bytesOf(builder);
}

QByteArray encode(const PowerReply &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreatePowerReply(builder, toTable(message.outcome), message.sequence,
                                        message.grantedWatts));
    return bytesOf(builder);
}

std::optional<GrantRequest> decodeGrantRequest(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::GrantRequest>(payload);
    if (table == nullptr)
        return std::nullopt;
    GrantRequest message{
            textOf(*table->team()), table->needed(), table->wanted(), table->arrivals(), {}};
    if (table->settlements() == nullptr)
        return message;
    for (const fb::Settlement *settlement : *table->settlements())
        message.settlements.push_back({settlement->grant_id(), settlement->unused()});
    return message;
}

std::optional<GrantReply> decodeGrantReply(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::GrantReply>(payload);
    const auto outcome = table == nullptr ? std::nullopt : fromTable(table->outcome());
    if (!outcome || !isAmount(table->level()) || !isAmount(table->tokens_per_second())
        || !isAmount(table->burst_tokens()))
        return std::nullopt;
    return GrantReply{*outcome,
                      table->grant_id(),
                      table->granted(),
                      {table->level(), table->tokens_per_second(), table->burst_tokens()}};
}

std::optional<PowerRequest> decodePowerRequest(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::PowerRequest>(payload);
    if (table == nullptr || !isAmount(table->total_watts()))
        return std::nullopt;
    return PowerRequest{table->sequence(), table->total_watts()};
}

std::optional<PowerReply> decodePowerReply(const QByteArray &payload)
{
    const auto *table = verifiedTable<fb::PowerReply>(payload);
    const auto outcome = table == nullptr ? std::nullopt : fromTable(table->outcome());
    if (!outcome || !isAmount(table->granted_watts()))
        return std::nullopt;
    return PowerReply{*outcome, table->sequence(), table->granted_watts()};
}

} // namespace lacewingmux
