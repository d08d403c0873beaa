#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** What an order tells an engine to do. */
enum class EngineOrderKind : std::uint8_t {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
    DropCache, ///< drop the program's cached prefix; the program goes on
    EndProgram ///< drop it, end the program's sequences and refuse later ones
};

/** An order to an engine. */
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::DropCache;
    QString subject;                ///< the program, or the name of what to load or to be
    std::uint64_t fencingToken = 0; ///< the issuer's zone epoch
};

/** What became of an order. */
enum class OrderOutcome : std::uint8_t {
    Done,
    Fenced,      ///< refused: the engine has seen a higher fencing number
    Unsupported, ///< the engine knows no such order
    Unknown      ///< failed, or its answer was lost: to be sent again
};

} // namespace lacewingmux
