#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

#include <QString>

#include <optional>
#include <vector>

namespace lacewingmux {

/** Returns the program that the request is about; for a sub-agent to open, its parent. */
[[nodiscard]] QString concernedProgram(const OwnerRequest &request);

/**
    Returns the aggregate that decides about the request, and with it the zone and the slot that a
    front forwards it to. A program's requests go by the program's id; a sub-agent's id falls on its
    root's slot. A request with an idempotency key goes to the zone that rendezvous hashing picks
    among the configured ones, the same from every front. Nothing for a request that any VM may
    decide, such as one that opens a program, and for an id that can't be one.
*/
[[nodiscard]] std::optional<AggregateId> decidingAggregate(const OwnerRequest &request,
                                                           const std::vector<QString> &zones);

} // namespace lacewingmux
