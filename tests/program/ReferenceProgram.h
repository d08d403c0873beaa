#pragma once

#include "lacewingmux_program/programs/Program.h"

#include <algorithm>
#include <vector>

namespace lacewingmux {

/** A rule that a reference can omit, to show that the comparison detects the difference. */
enum class OmittedRule { None, Budget, Order, Content };

/**
    A reference implementation of Program: one list of calls that is scanned from its beginning for
    each decision. It follows the rules directly, without events and without stored totals.
*/
class ReferenceProgram
{
public:
    struct CallRecord
    {
        CallCommand command;
        std::int64_t reserved = 0;
        std::int64_t charged = 0;
        std::int64_t prefix = 0; ///< of the agent after the call; 0 if it adds no history
        bool open = true;
        bool released = false;
    };

    OmittedRule omitted = OmittedRule::None;
    std::int64_t budget = 0;
    std::int64_t turnLimit = 0;
    std::vector<CallRecord> records;
    std::vector<int> parents{0}; ///< by agent; the root is its own parent
    std::vector<bool> ended{false};

    [[nodiscard]] std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (const CallRecord &record : this->records)
            sum += record.open ? record.reserved : record.charged;
        return sum;
    }

    [[nodiscard]] const CallRecord *find(AgentIndex agent, std::uint32_t number) const
    {
        for (const CallRecord &record : this->records) {
            if (!record.released && record.command.agent == agent
                && record.command.number == number)
                return &record;
        }
        return nullptr;
    }

    [[nodiscard]] std::int64_t prefixOf(AgentIndex agent) const
    {
        std::int64_t prefix = 0;
        for (const CallRecord &record : this->records) {
            if (record.command.agent == agent && record.prefix > 0)
                prefix = record.prefix;
        }
        return prefix;
    }

    [[nodiscard]] std::int64_t bound(const CallCommand &command) const
    {
        return command.model ? this->prefixOf(command.agent) + command.newInputTokens
                                       + command.maxOutputTokens
                             : 0;
    }

    /** Returns the action; for a refusal, sets kind. */
    CallAction decide(const CallCommand &command, ErrorKind &kind) const
    {
        if (const CallRecord *known = this->find(command.agent, command.number)) {
            kind = ErrorKind::CallConflict;
            if (known->command.digest != command.digest && this->omitted != OmittedRule::Content)
                return CallAction::Refuse;
            return known->open ? CallAction::Join : CallAction::Replay;
        }
        kind = ErrorKind::ProgramEnded;
        if (this->ended[command.agent])
            return CallAction::Refuse;
        kind = ErrorKind::TurnLimitReached;
        const auto turns = std::count_if(this->records.begin(), this->records.end(),
                                         [](const CallRecord &record) { return !record.released; });
        if (this->turnLimit > 0 && turns >= this->turnLimit)
            return CallAction::Refuse;
        std::uint32_t next = 1;
        bool earlierOpen = false;
        for (const CallRecord &record : this->records) {
            if (record.released || record.command.agent != command.agent)
                continue;
            next = std::max(next, record.command.number + 1);
            earlierOpen = earlierOpen || record.open;
        }
        kind = ErrorKind::CallOutOfOrder;
        if ((command.number != next || earlierOpen) && this->omitted != OmittedRule::Order)
            return command.number - next < maximumCallsAhead ? CallAction::Wait
                                                             : CallAction::Refuse;
        kind = ErrorKind::BudgetExhausted;
        const bool fits = this->omitted == OmittedRule::Budget
                          || this->used() + this->bound(command) <= this->budget;
        return fits ? CallAction::Start : CallAction::Refuse;
    }

    void finish(AgentIndex agent, std::uint32_t number, const DispatchResult &result)
    {
        auto record = std::find_if(this->records.begin(), this->records.end(),
                                   [&](const CallRecord &entry) {
                                       return entry.open && entry.command.agent == agent
                                              && entry.command.number == number;
                                   });
        const bool failed = !result.completed;
        const bool retried =
                failed && (result.executed == Executed::No || record->command.idempotent);
        std::int64_t tokens = result.inputTokens + result.outputTokens;
        if (tokens == 0 && !retried && record->command.model)
            tokens = record->reserved;
        const std::int64_t room = this->budget - this->used() + record->reserved;
        record->open = false;
        record->released = retried;
        record->charged = record->command.model ? std::min(tokens, room) : 0;
        const bool beyond = tokens > room || result.outputTokens > record->command.maxOutputTokens;
        if (record->command.model && !failed && !beyond)
            record->prefix = tokens;
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
