#pragma once

#include "lacewingmux_program/dispatch/DispatchResult.h"
#include "lacewingmux_program/events/ProgramEvent.h"
#include "lacewingmux_program/programs/Agent.h"
#include "lacewingmux_program/programs/CallCommand.h"
#include "lacewingmux_program/programs/CallDecision.h"
#include "lacewingmux_program/programs/TokenBudget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

/** A call is queued only if its number exceeds the agent's next number by less than this. */
inline constexpr std::uint32_t maximumCallsAhead = 16;

/**
    An agent program: the order of its calls, its history, its budget and the claims of its
    non-idempotent calls. It includes its sub-agents, so that one decision covers the shared budget.

    The state changes only through events. The decide functions read the state and return events;
    the owner applies an event, appends it to the journal, and carries out its effects once it is
    committed. The same events in the same order rebuild the same program on any VM. The class
    uses no clock, no random numbers and no input or output: times are passed in.
*/
class Program
{
public:
    explicit Program(const ProgramOpened &opened);
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /** Rebuilds a program; throws LacewingmuxError if the first event is not ProgramOpened. */
    [[nodiscard]] static std::unique_ptr<Program> rebuild(const std::vector<ProgramEvent> &events);

    /** Applies one event. Throws LacewingmuxError if the event is invalid in this state. */
    void apply(const ProgramEvent &event);

    /** Returns a minimal list of events that rebuilds this state. */
    [[nodiscard]] std::vector<ProgramEvent> compactEvents() const;

    [[nodiscard]] const ProgramOpened &opening() const noexcept
    {
        return this->openedEvent;
    }
    [[nodiscard]] const TokenBudget &budget() const noexcept
    {
        return this->tokenBudget;
    }
    [[nodiscard]] const std::vector<Agent> &agents() const noexcept
    {
        return this->agentList;
    }

    /** Returns the index of the agent with the id, if there is one. */
    [[nodiscard]] std::optional<AgentIndex> agentOf(const QString &id) const;

    /** Returns the call, or null if it has not started. */
    [[nodiscard]] const RecordedCall *call(AgentIndex agent, std::uint32_t number) const;

    /** Returns whether the call, or an earlier attempt at it, ran or may have run. */
    [[nodiscard]] bool mayHaveRun(AgentIndex agent, std::uint32_t number) const;

    /** Returns whether the whole program has ended. */
    [[nodiscard]] bool hasEnded() const noexcept
    {
        return this->agentList.front().endReason.has_value();
    }
    [[nodiscard]] EventTime endedAt() const noexcept
    {
        return this->endTime;
    }

    /** Returns whether any agent has a call without an outcome. */
    [[nodiscard]] bool isRunning() const noexcept;

    /** Returns how many calls of all agents have started. */
    [[nodiscard]] std::int64_t turns() const noexcept;

    /** Returns when a timeout ends the program; empty if it has no timeout or has ended. */
    [[nodiscard]] std::optional<EventTime> deadline() const;

    /** Decides how to handle a call. Calls of one agent start in the order of their numbers. */
    [[nodiscard]] CallDecision decideCall(const CallCommand &command, EventTime now) const;

    /**
        Returns the event for a dispatched call that has ended: an outcome to record, or a release
        of its number. A response beyond the call's token bound becomes a failure and is charged no
        more than its reservation and the unreserved rest of the budget.
    */
    [[nodiscard]] ProgramEvent decideOutcome(AgentIndex agent, std::uint32_t number,
                                             const DispatchResult &result, EventTime now) const;

    /**
        Returns the events for calls without an outcome after a takeover: the non-idempotent calls
        get the outcome "unknown" and are never run again.
    */
    [[nodiscard]] std::vector<ProgramEvent> decideTakeover(EventTime now) const;

    /** Returns the event that ends the program if one of its timeouts has expired. */
    [[nodiscard]] std::optional<ProgramEnded> decideExpiry(EventTime now) const;

    /** Returns the event for a new sub-agent; throws LacewingmuxError if it is not allowed. */
    [[nodiscard]] SubAgentOpened decideSubAgent(const QString &id, AgentIndex parent,
                                                EventTime now) const;

private:
    void applyEvent(const ProgramOpened &event);
    void applyEvent(const SubAgentOpened &event);
    void applyEvent(const CallStarted &event);
    void applyEvent(const CallFinished &event);
    void applyEvent(const CallReleased &event);
    void applyEvent(const ProgramEnded &event);
    void applyEvent(const MemoryReleased &event);
    [[nodiscard]] Agent &runningAgent(AgentIndex agent, std::uint32_t number);
    [[nodiscard]] CallDecision decideKnownCall(const RecordedCall &known,
                                               const CallCommand &command) const;
    [[nodiscard]] std::optional<CallDecision> checkLimits(const Agent &agent, EventTime now) const;
    [[nodiscard]] CallDecision decideStart(const CallCommand &command, EventTime now) const;

    ProgramOpened openedEvent;
    TokenBudget tokenBudget;
    std::vector<Agent> agentList; ///< the root first
    EventTime lastActivity;
    EventTime endTime;
    std::int64_t releasedCallCharges = 0; ///< tokens; the history does not list released calls
};

} // namespace lacewingmux
