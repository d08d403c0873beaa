#pragma once

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/owner/OwnedSlots.h"
#include "lacewingmux_program/owner/OwnerEnvironment.h"
#include "lacewingmux_program/owner/ProgramRepository.h"
#include "lacewingmux_program/owner/RequestTable.h"
#include "lacewingmux_program/programs/RecordedCall.h"

#include <functional>

namespace lacewingmux {

struct Allowance;

/** State that the components of a ProgramOwner share: slots, requests and programs. */
class OwnerContext
{
public:
    explicit OwnerContext(OwnerEnvironment ownerEnvironment);
    OwnerContext(const OwnerContext &) = delete;
    OwnerContext &operator=(const OwnerContext &) = delete;

    [[nodiscard]] EventTime now() const;

    /** Returns the allowance of the team's plan, or the defaults if the team is no longer known. */
    [[nodiscard]] Allowance allowanceOf(const QString &team) const;

    /** Applies an event to a program and appends it to the journal. */
    void record(Program &program, const ProgramEvent &event, OwnedSlots::Continuation committed);

    /**
        Refuses a request. A request with a slot may have been sent before, so an error that states
        "not run" for it is sent only after the backup has confirmed the ownership. It becomes
        "unknown" if mayHaveRun then reports that another request has started the same call.
    */
    void refuse(OwnerRequestHandle handle, const LacewingmuxError &error,
                std::function<bool()> mayHaveRun = {});

    /** Throws LacewingmuxError with ErrorKind::ShuttingDown while this owner is draining. */
    void checkNotDraining() const;

    /** Responds to a request with the outcome of a call. */
    void respondWithOutcome(OwnerRequestHandle handle, const RecordedCall &call);

    OwnerEnvironment environment;
    OwnedSlots slots;
    RequestTable requests;
    ProgramRepository programs;
    bool draining = false; ///< whether new work is refused
};

} // namespace lacewingmux
