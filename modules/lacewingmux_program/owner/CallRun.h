#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/dispatch/CallDispatcher.h"
#include "lacewingmux_program/requests/FinalEventBuffer.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** A call between its claim and the commit of its outcome, with the callers waiting for it. */
struct CallRun
{
    std::uint64_t serial = 0; ///< distinguishes this run from an earlier one of the same call
    bool resumed = false;     ///< whether an earlier owner may have run it
    TimerService::SteadyTime decidedAt; ///< when this owner decided to run it
    std::optional<DispatchHandle> dispatch;
    std::optional<ErrorKind> cancelReason; ///< set when cancelled; checked before dispatch
    std::vector<OwnerRequestHandle> waiters;
    std::optional<OwnerRequestHandle> streamingWaiter; ///< receives chunks as they arrive
    FinalEventBuffer finalEvent;
    bool streamed = false;          ///< whether a chunk was forwarded to the streaming waiter
    bool streamInterrupted = false; ///< whether a retry began after chunks were forwarded
};

} // namespace lacewingmux
