#pragma once

#include "lacewingmux_operator/commands/ExitCode.h"

namespace lacewingmux {

class CommandContext;

/** The sub-commands of "key". Errors are thrown as LacewingmuxError. */
class KeyCommands
{
public:
    /** Makes a key for a team and prints its text, this once. */
    [[nodiscard]] static ExitCode issue(CommandContext &context);

    /** Withdraws a key by its id; doing it again changes nothing. */
    [[nodiscard]] static ExitCode withdraw(CommandContext &context);

    /** Prints all keys, without secrets. */
    [[nodiscard]] static ExitCode list(CommandContext &context);
};

} // namespace lacewingmux
