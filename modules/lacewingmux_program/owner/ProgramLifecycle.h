#pragma once

#include "lacewingmux_program/owner/OwnerContext.h"

#include <functional>

namespace lacewingmux {

/**
    Opens programs and sub-agents, and ends them on request, at a limit or at a timeout. The release
    of an ended program's engine memory is requested until the engines confirm it. The program is
    kept for its retention as one compacted entry and then removed.
*/
class ProgramLifecycle
{
public:
    explicit ProgramLifecycle(OwnerContext &ownerContext);

    /** Called when the end of one or more agents has been committed, to cancel their calls. */
    std::function<void(Program &program, ErrorKind reason)> onEnded;

    /** Handles a request that opens a program on a slot of this VM. */
    void open(OwnerRequestHandle handle);

    /** Handles a request that opens a sub-agent of a program. */
    void openSubAgent(OwnerRequestHandle handle, Program &program, const QString &parentId);

    /** Handles a request that ends a program or a sub-agent. */
    void end(OwnerRequestHandle handle, Program &program);

    /** Ends a whole program, unless it has ended already. */
    void endProgram(Program &program, ErrorKind reason);

    /**
        Requests the release of the engine memory of ended agents without a running call, where it
        isn't confirmed yet.
    */
    void releaseMemory(const Program &program);

    /** Resumes after a takeover: requests unconfirmed memory releases again. */
    void resume(Program &program);

    /**
        Schedules the next deadline of a program; compacts the program once it has ended, no call
        is running and its engine memory is released.
    */
    void updateSchedule(Program &program);

    /**
        Ends programs that reached a deadline, requests unconfirmed memory releases again, removes
        programs whose retention has passed, and unloads unused ones.
    */
    void sweep();

    /** Records that the engines no longer hold memory for the program or sub-agent. */
    void recordMemoryRelease(const QString &programId);

private:
    [[nodiscard]] QString generateId(const std::function<bool(SlotIndex)> &accepts);
    void endAgent(Program &program, AgentIndex agent, ErrorKind reason,
                  OwnedSlots::Continuation committed);
    void compact(Program &program);
    void expire(Program &program);
    [[nodiscard]] EventTime nextRetentionCheck(const Program &program) const;

    OwnerContext &context;
    std::uint64_t nextSerial = 1;
};

} // namespace lacewingmux
