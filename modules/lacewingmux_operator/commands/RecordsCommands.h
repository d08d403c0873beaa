#pragma once

#include "lacewingmux_operator/commands/ExitCode.h"

namespace lacewingmux {

class CommandContext;

/** The sub-commands of "records". Errors are thrown as LacewingmuxError. */
class RecordsCommands
{
public:
    /** Declares a records VM lost for good, so that its group no longer waits for its disk. Records
        that only this disk has are lost. */
    [[nodiscard]] static ExitCode declareLost(CommandContext &context);
};

} // namespace lacewingmux
