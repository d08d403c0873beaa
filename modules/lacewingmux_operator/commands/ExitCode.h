#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"

#include <cstdint>

namespace lacewingmux {

/** How lacewingmuxctl ends. The numbers are part of its interface. */
enum class ExitCode : std::uint8_t {
    Success = 0,
    Failed = 1,            ///< none of the cases below
    WrongCommandLine = 2,  ///< nothing was tried
    Conflict = 3,          ///< another revision stands; nothing was changed
    Invalid = 4,           ///< the document or the name has faults; nothing was changed
    StoreUnavailable = 5,  ///< the store does not answer; nothing was changed
    ResultUnknown = 6,     ///< the store fell silent after the write was sent; read before retrying
    NotInForce = 7,        ///< applied, but not in force everywhere when the wait ended
    DaemonUnreachable = 8, ///< no daemon answered at the operators' endpoints
};

/** Returns the exit code for an error. */
[[nodiscard]] ExitCode exitCodeFor(ErrorKind kind) noexcept;

} // namespace lacewingmux
