#pragma once

#include "lacewingmux_core/ids/AggregateId.h"

#include <QStringList>

#include <optional>

namespace lacewingmux {

struct OwnerRequest;

/**
    Returns the aggregate that decides about the request, or nothing for one that needs none and
    is served in any zone.

    A program's id carries its home zone. A request with an idempotency key has its home zone by
    rendezvous hash of team and key over the configured zones: the greatest combined hash wins.
    Throws LacewingmuxError with ErrorKind::UnknownProgram for a damaged program id.
*/
[[nodiscard]] std::optional<AggregateId> homeOf(const OwnerRequest &request,
                                                const QStringList &configuredZones);

} // namespace lacewingmux
