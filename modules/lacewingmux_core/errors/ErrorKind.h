#pragma once

#include <cstdint>

namespace lacewingmux {

/** The closed list of error kinds. ErrorTable gives each its answer. */
enum class ErrorKind : std::uint8_t {
    MalformedRequest,
    BodyTooLarge,
    Unauthenticated,
    KeyWithdrawn,
    NotPermitted,
    UnknownRoute,
    UnknownProgram,
    ProgramEnded,
    CallOutOfOrder,
    CallConflict, ///< the same call number or idempotency key came with a different content
    BudgetExhausted,
    TurnLimitReached,
    ProgramTimeout,
    RateLimited,
    PowerCapReached,
    Overloaded,
    QueueTimeout,
    ZoneUnreachable,
    OwnerUnavailable,
    StateLost, ///< the aggregate existed, and no copy of its state can be reached
    ShuttingDown,
    BackendUnavailable,
    BackendTimeout,
    BackendFailed,
    Quarantined,
    ExecutionUnknown,
    ConfigurationConflict,
    ConfigurationInvalid,
    StoreUnavailable,
    StoreResultUnknown, ///< a write was sent and its reply was lost
    CallerGone,
    ProtocolViolation,
    InternalError
};

/** How many kinds there are. */
inline constexpr int errorKindCount = static_cast<int>(ErrorKind::InternalError) + 1;

} // namespace lacewingmux
