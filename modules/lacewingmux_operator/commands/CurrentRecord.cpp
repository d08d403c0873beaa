#include "lacewingmux_operator/commands/CurrentRecord.h"

#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/client/Awaited.h"
#include "lacewingmux_operator/commands/CommandContext.h"

#include <optional>
#include <utility>

namespace lacewingmux {

RevisionedRecord currentRecord(CommandContext &context)
{
    Awaited<std::optional<RevisionedRecord>> answer;
    ConfigurationRegister configurations(context.store());
    configurations.read([&answer](auto record) { answer.set(std::move(record)); });
    const std::optional<RevisionedRecord> record = answer.get();
    if (!record)
        throw LacewingmuxError(ErrorKind::StoreUnavailable,
                               QStringLiteral("the platform's store does not answer"));
    return *record;
}

} // namespace lacewingmux
