#pragma once

#include "lacewingmux_config/records/RevisionedRecord.h"

namespace lacewingmux {

class CommandContext;

/**
    Reads the record of the configuration from the platform's store. Throws LacewingmuxError with
    ErrorKind::StoreUnavailable when the store does not answer.
*/
[[nodiscard]] RevisionedRecord currentRecord(CommandContext &context);

} // namespace lacewingmux
