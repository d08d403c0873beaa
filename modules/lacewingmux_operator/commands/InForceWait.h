#pragma once

#include "lacewingmux_operator/commands/ExitCode.h"

#include <QJsonArray>
#include <QStringList>

#include <cstdint>

namespace lacewingmux {

class CommandContext;

/** Waits until a revision is in force at every VM of every zone. */
class InForceWait
{
public:
    /**
        Asks the daemons until it is so; prints the zones at the end. Returns NotInForce and names
        the zones that lack it when the time of --timeout has passed.
    */
    [[nodiscard]] static ExitCode run(CommandContext &context, std::uint64_t revision);

    /** Returns the zones of a status that lack the revision; the list is "zonesInForce" of a
     * status. */
    [[nodiscard]] static QStringList zonesWithout(const QJsonArray &zones, std::uint64_t revision);
};

} // namespace lacewingmux
