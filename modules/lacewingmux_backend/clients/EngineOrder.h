#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** The operation that an order requests from an engine. */
enum class EngineOrderKind : std::uint8_t {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
    DropCache, ///< drop the program's cached prefix; the program continues
    EndProgram ///< drop the prefix, end the program's sequences, reject later ones
};

/** A control command for an engine. */
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::DropCache;
    QString subject;                ///< the program, or the model, adapter, version or role
    std::uint64_t fencingToken = 0; ///< zone epoch of the issuing VM
};

/** The outcome of an order. */
enum class OrderOutcome : std::uint8_t {
    Done,
    Fenced,      ///< rejected: the engine has seen a higher fencing token
    Unsupported, ///< the engine does not support the order
    Unconfirmed  ///< failed, not sent, or the response was lost; to be sent again
};

} // namespace lacewingmux
