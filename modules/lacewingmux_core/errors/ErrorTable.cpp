#include "lacewingmux_core/errors/ErrorTable.h"

#include <array>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds noRetry{0};
constexpr milliseconds shortly{200};
constexpr milliseconds soon{1000};
constexpr milliseconds afterFailover{3000};

constexpr std::array<ErrorAnswer, errorKindCount> table{{
        {ErrorKind::MalformedRequest, "malformedRequest", 400, false, noRetry},
        {ErrorKind::BodyTooLarge, "bodyTooLarge", 413, false, noRetry},
        {ErrorKind::Unauthenticated, "unauthenticated", 401, false, noRetry},
        {ErrorKind::KeyWithdrawn, "keyWithdrawn", 401, false, noRetry},
        {ErrorKind::NotPermitted, "notPermitted", 403, false, noRetry},
        {ErrorKind::UnknownRoute, "unknownRoute", 404, false, noRetry},
        {ErrorKind::UnknownProgram, "unknownProgram", 404, false, noRetry},
        {ErrorKind::ProgramEnded, "programEnded", 410, false, noRetry},
        {ErrorKind::CallOutOfOrder, "callOutOfOrder", 409, true, shortly},
        {ErrorKind::CallConflict, "callConflict", 409, false, noRetry},
        {ErrorKind::BudgetExhausted, "budgetExhausted", 402, false, noRetry},
        {ErrorKind::TurnLimitReached, "turnLimitReached", 402, false, noRetry},
        {ErrorKind::ProgramTimeout, "programTimeout", 410, false, noRetry},
        {ErrorKind::RateLimited, "rateLimited", 429, true, soon},
        {ErrorKind::PowerCapReached, "powerCapReached", 503, true, soon},
        {ErrorKind::Overloaded, "overloaded", 503, true, soon},
        {ErrorKind::QueueTimeout, "queueTimeout", 503, true, soon},
        {ErrorKind::ZoneUnreachable, "zoneUnreachable", 503, true, afterFailover},
        {ErrorKind::OwnerUnavailable, "ownerUnavailable", 503, true, soon},
        {ErrorKind::StateLost, "stateLost", 503, false, noRetry},
        {ErrorKind::ShuttingDown, "shuttingDown", 503, true, shortly},
        {ErrorKind::BackendUnavailable, "backendUnavailable", 503, true, soon},
        {ErrorKind::BackendTimeout, "backendTimeout", 504, false, noRetry},
        {ErrorKind::BackendFailed, "backendFailed", 502, false, noRetry},
        {ErrorKind::Quarantined, "quarantined", 422, false, noRetry},
        {ErrorKind::ExecutionUnknown, "executionUnknown", 502, false, noRetry},
        {ErrorKind::ConfigurationConflict, "configurationConflict", 409, false, noRetry},
        {ErrorKind::ConfigurationInvalid, "configurationInvalid", 422, false, noRetry},
        {ErrorKind::StoreUnavailable, "storeUnavailable", 503, true, soon},
        {ErrorKind::StoreResultUnknown, "storeResultUnknown", 503, false, noRetry},
        {ErrorKind::CallerGone, "callerGone", 499, false, noRetry},
        {ErrorKind::ProtocolViolation, "protocolViolation", 400, false, noRetry},
        {ErrorKind::InternalError, "internalError", 500, false, noRetry},
}};

constexpr bool tableFollowsEnum()
{
    for (std::size_t index = 0; index < table.size(); ++index) {
        if (static_cast<std::size_t>(table[index].kind) != index)
            return false;
    }
    return true;
}

static_assert(tableFollowsEnum(), "one row for each kind, in the order of the enumeration");

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(const QString &name)
{
    for (const ErrorAnswer &answer : table) {
        if (name == QLatin1String(answer.name))
            return answer.kind;
    }
    return std::nullopt;
}

} // namespace lacewingmux
