#pragma once

#include "lacewingmux_program/programs/Program.h"

#include <algorithm>
#include <vector>

namespace lacewingmux {

/** A rule that a naive twin can be told to leave out, to show that a comparison notices. */
enum class OmittedRule { None, Budget, Order, Content };

/**
    The naive twin of Program: one list of what happened, looked through from its beginning for
    every decision. Written from the rules, without events and without kept totals.
*/
class NaiveProgram
{
public:
    struct Line
    {
        CallCommand command;
        std::int64_t reserved = 0;
        std::int64_t charged = 0;
        std::int64_t prefix = 0; ///< of the agent after the call; 0 when it adds no history
        bool open = true;
        bool released = false;
    };

    OmittedRule omitted = OmittedRule::None;
    std::int64_t budget = 0;
    std::int64_t turnLimit = 0;
    std::vector<Line> lines;
    std::vector<int> parents{0}; ///< by agent; the root is its own parent
    std::vector<bool> ended{false};

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (const Line &line : this->lines)
            sum += line.open ? line.reserved : line.charged;
        return sum;
    }

    [[nodiscard]] const Line *find(AgentIndex agent, std::uint32_t number) const
    {
        for (const Line &line : this->lines) {
            if (!line.released && line.command.agent == agent && line.command.number == number)
                return &line;
        }
        return nullptr;
    }

    [[nodiscard]] std::int64_t prefixOf(AgentIndex agent) const
    {
        std::int64_t prefix = 0;
        for (const Line &line : this->lines) {
            if (line.command.agent == agent && line.prefix > 0)
                prefix = line.prefix;
        }
        return prefix;
    }

    [[nodiscard]] std::int64_t bound(const CallCommand &command) const
    {
        return command.model ? this->prefixOf(command.agent) + command.newInputTokens
                                       + command.maxOutputTokens
                             : 0;
    }

    /** Returns the verdict; a refusal's kind goes to the second argument. */
    CallVerdict decide(const CallCommand &command, ErrorKind &kind) const
    {
        if (const Line *known = this->find(command.agent, command.number)) {
            kind = ErrorKind::CallConflict;
            if (known->command.digest != command.digest && this->omitted != OmittedRule::Content)
                return CallVerdict::Refuse;
            return known->open ? CallVerdict::Join : CallVerdict::Replay;
        }
        kind = ErrorKind::ProgramEnded;
        if (this->ended[command.agent])
            return CallVerdict::Refuse;
        kind = ErrorKind::TurnLimitReached;
        const auto turns = std::count_if(this->lines.begin(), this->lines.end(),
                                         [](const Line &line) { return !line.released; });
        if (this->turnLimit > 0 && turns >= this->turnLimit)
            return CallVerdict::Refuse;
        std::uint32_t next = 1;
        bool earlierOpen = false;
        for (const Line &line : this->lines) {
            if (line.released || line.command.agent != command.agent)
                continue;
            next = std::max(next, line.command.number + 1);
            earlierOpen = earlierOpen || line.open;
        }
        kind = ErrorKind::CallOutOfOrder;
        if ((command.number != next || earlierOpen) && this->omitted != OmittedRule::Order)
            return command.number - next < maximumCallsAhead ? CallVerdict::Wait
                                                             : CallVerdict::Refuse;
        kind = ErrorKind::BudgetExhausted;
        const bool fits = this->omitted == OmittedRule::Budget
                          || this->used() + this->bound(command) <= this->budget;
        return fits ? CallVerdict::Start : CallVerdict::Refuse;
    }

    void finish(AgentIndex agent, std::uint32_t number, const DispatchResult &result)
    {
        auto line = std::find_if(this->lines.begin(), this->lines.end(), [&](const Line &entry) {
            return entry.open && entry.command.agent == agent && entry.command.number == number;
        });
        const bool failed = !result.completed;
        const bool retried =
                failed && (result.executed == Executed::No || line->command.idempotent);
        std::int64_t tokens = result.inputTokens + result.outputTokens;
        if (tokens == 0 && !retried && line->command.model)
            tokens = line->reserved;
        const std::int64_t room = this->budget - this->used() + line->reserved;
        line->open = false;
        line->released = retried;
        line->charged = line->command.model ? std::min(tokens, room) : 0;
        const bool beyond = tokens > room || result.outputTokens > line->command.maxOutputTokens;
        if (line->command.model && !failed && !beyond)
            line->prefix = tokens;
    }

    void end(AgentIndex agent)
    {
        this->ended[agent] = true;
        for (std::size_t index = 1; index < this->ended.size(); ++index) {
            if (this->ended[static_cast<std::size_t>(this->parents[index])])
                this->ended[index] = true;
        }
    }
};

} // namespace lacewingmux
