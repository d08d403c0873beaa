#pragma once

#include "lacewingmux_operator/commands/ExitCode.h"

namespace lacewingmux {

class CommandContext;

/** The sub-commands of "config". Errors are thrown as LacewingmuxError. */
class ConfigCommands
{
public:
    /** Prints the document that stands in the store. */
    [[nodiscard]] static ExitCode get(CommandContext &context);

    /** Looks for faults in a file. */
    [[nodiscard]] static ExitCode check(CommandContext &context);

    /** Replaces the document by a file, if the revision that was named still stands. */
    [[nodiscard]] static ExitCode apply(CommandContext &context);

    /** Changes single fields of the document that stands. */
    [[nodiscard]] static ExitCode edit(CommandContext &context);
};

} // namespace lacewingmux
