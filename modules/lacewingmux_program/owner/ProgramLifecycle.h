#pragma once

#include "lacewingmux_program/owner/OwnerContext.h"

#include <functional>

namespace lacewingmux {

/**
    Opens programs and sub-agents and ends them: by their callers, by their limits, by time. An
    ended program is released on the engines until they confirm, kept for its retention as one
    compacted entry, and then removed.
*/
class ProgramLifecycle
{
public:
    explicit ProgramLifecycle(OwnerContext &ownerContext);

    /** Called once the end of some agents is committed, to end their calls. */
    std::function<void(Program &program, ErrorKind reason)> onEnded;

    /** Handles a request that opens a program on a slot of this VM. */
    void open(OwnerRequestHandle handle);

    /** Handles a request that opens a sub-agent of a program. */
    void openSubAgent(OwnerRequestHandle handle, Program &program, const QString &parentId);

    /** Handles a request that ends a program or a sub-agent. */
    void end(OwnerRequestHandle handle, Program &program);

    /** Ends a whole program for the reason. */
    void endProgram(Program &program, ErrorKind reason);

    /** Has the engines let go of the agents that have ended and run nothing, until they confirm. */
    void releaseMemory(const Program &program);

    /** Goes on after a takeover: what has ended and isn't confirmed is released again. */
    void resume(Program &program);

    /** Sets the next deadline of a program, and compacts one that has come to rest. */
    void handleChange(Program &program);

    /** Looks for programs whose time is over. */
    void sweep();

    /** Records that the engines hold nothing for the program or sub-agent any more. */
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
