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

/** How many calls of one agent may wait for earlier ones at a time. */
inline constexpr std::uint32_t maximumCallsAhead = 16;

/**
    An agent program: the order of its calls, its history, its budget and the claims of its
    non-idempotent calls. Sub-agents are part of it, so that one decision covers the shared budget.

    The state changes through events alone. The decide functions look at the state and return
    events; the owner journals an event, applies it, and lets its effect happen once it is
    committed. The same events in the same order rebuild the same program on any VM. No clock, no
    randomness and no input or output: times are passed in.
*/
class Program
{
public:
    explicit Program(const ProgramOpened &opened);
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /** Rebuilds a program; throws LacewingmuxError when the events don't begin with its opening. */
    [[nodiscard]] static std::unique_ptr<Program> rebuild(const std::vector<ProgramEvent> &events);

    /** Takes one event into the state. Throws LacewingmuxError when it can't follow this state. */
    void apply(const ProgramEvent &event);

    /** Returns the fewest events that rebuild this state. */
    [[nodiscard]] std::vector<ProgramEvent> compactEvents() const;

    [[nodiscard]] const ProgramOpened &opening() const noexcept
    {
        return this->opened;
    }
    [[nodiscard]] const TokenBudget &budget() const noexcept
    {
        return this->tokens;
    }
    [[nodiscard]] const std::vector<Agent> &agents() const noexcept
    {
        return this->members;
    }

    /** Returns the number of the agent with the id, or nothing. */
    [[nodiscard]] std::optional<AgentIndex> agentOf(const QString &id) const;

    /** Returns the call, or null when it has not started. */
    [[nodiscard]] const RecordedCall *call(AgentIndex agent, std::uint32_t number) const;

    /** Tells whether the call, or an earlier try of it, ran or may have run. */
    [[nodiscard]] bool mayHaveRun(AgentIndex agent, std::uint32_t number) const;

    /** Tells whether the whole program has ended. */
    [[nodiscard]] bool hasEnded() const noexcept
    {
        return this->members.front().endReason.has_value();
    }
    [[nodiscard]] EventTime endedAt() const noexcept
    {
        return this->endTime;
    }

    /** Tells whether any agent has a call without an outcome. */
    [[nodiscard]] bool isRunning() const noexcept;

    /** Returns how many calls started, over all agents. */
    [[nodiscard]] std::int64_t turns() const noexcept;

    /** Returns when the program ends by its timeouts, or nothing when it has none or has ended. */
    [[nodiscard]] std::optional<EventTime> deadline() const;

    /** Decides what becomes of a call. Calls of one agent start in the order of their numbers. */
    [[nodiscard]] CallDecision decideCall(const CallCommand &command, EventTime now) const;

    /**
        Decides what the end of a dispatched call means: an outcome to record, or a release of its
        number. An answer beyond the call's bound is failed and charged no more than what is left.
    */
    [[nodiscard]] ProgramEvent decideOutcome(AgentIndex agent, std::uint32_t number,
                                             const DispatchResult &result, EventTime now) const;

    /**
        Decides, at a takeover, about the calls without an outcome: the non-idempotent ones get the
        outcome "unknown" and are never run again.
    */
    [[nodiscard]] std::vector<ProgramEvent> decideTakeover(EventTime now) const;

    /** Decides whether a timeout ends the program now. */
    [[nodiscard]] std::optional<ProgramEnded> decideExpiry(EventTime now) const;

    /** Decides about a new sub-agent; throws LacewingmuxError when the program can't take it. */
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

    ProgramOpened opened;
    TokenBudget tokens;
    std::vector<Agent> members; ///< the root first
    EventTime lastActivity;
    EventTime endTime;
    std::int64_t releasedCallCharges = 0; ///< of released calls, which the history doesn't show
};

} // namespace lacewingmux
