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

/** What the parts of a ProgramOwner share: the slots, the requests and the programs. */
class OwnerContext
{
public:
    explicit OwnerContext(OwnerEnvironment ownerEnvironment);
    OwnerContext(const OwnerContext &) = delete;
    OwnerContext &operator=(const OwnerContext &) = delete;

    [[nodiscard]] EventTime now() const;

    /** Returns what the team's plan may use; the defaults for a team that is unknown by now. */
    [[nodiscard]] Allowance allowanceOf(const QString &team) const;

    /** Takes an event into a program and appends it to the journal. */
    void record(Program &program, const ProgramEvent &event, OwnedSlots::Continuation committed);

    /**
        Refuses a request. Where the error promises "not run" for a request that may have been sent
        before, the promise is given only after the backup has confirmed the ownership, and turns
        into "unknown" where mayHaveRun says by then that the same call was started by another
        request.
    */
    void refuse(OwnerRequestHandle handle, const LacewingmuxError &error,
                std::function<bool()> mayHaveRun = {});

    /** Throws LacewingmuxError with ErrorKind::ShuttingDown while nothing new may start here. */
    void checkNotDraining() const;

    /** Answers with the outcome of a call. */
    void respondWithOutcome(OwnerRequestHandle handle, const RecordedCall &call);

    OwnerEnvironment environment;
    OwnedSlots slots;
    RequestTable requests;
    ProgramRepository programs;
    bool draining = false; ///< whether nothing new may start here
};

} // namespace lacewingmux
