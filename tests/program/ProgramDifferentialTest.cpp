#include "ReferenceProgram.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_program/events/EventCodec.h"

#include <criterion/criterion.h>

#include <random>

using namespace lacewingmux;

namespace {

constexpr unsigned seedCount = 300;
constexpr int stepsPerSeed = 300;
constexpr std::int64_t budget = 20000;
constexpr int turnLimit = 60;

/** Runs the same random commands on a Program and on the reference implementation. */
class Comparison
{
public:
    explicit Comparison(unsigned seed, OmittedRule omitted = OmittedRule::None)
        : random(seed)
    {
        ProgramOpened opened;
        opened.program = QStringLiteral("zone-a~1~1~vm-1~1");
        opened.budgetTokens = budget;
        opened.turnLimit = turnLimit;
        this->program = std::make_unique<Program>(opened);
        this->entries = {encodeEvents({opened})};
        this->reference.omitted = omitted;
        this->reference.budget = budget;
        this->reference.turnLimit = turnLimit;
    }

    /** Executes a random step; returns whether both implementations agree. */
    bool step()
    {
        switch (this->pick(12)) {
        case 0:
            this->openSubAgent();
            break;
        case 1:
            this->rebuild();
            break;
        case 2:
            if (this->pick(20) == 0)
                this->end();
            break;
        case 3:
        case 4:
        case 5:
            this->finishOne();
            break;
        default:
            this->call();
        }
        return this->check();
    }

    std::int64_t highestUse = 0;

private:
    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    void apply(const ProgramEvent &event)
    {
        this->program->apply(event);
        this->entries.push_back(encodeEvents({event}));
    }

    void call()
    {
        CallCommand command;
        command.agent =
                static_cast<AgentIndex>(this->pick(static_cast<int>(this->reference.ended.size())));
        const int next = static_cast<int>(this->program->agents()[command.agent].nextNumber());
        command.number = static_cast<std::uint32_t>(std::max(1, next - 2 + this->pick(4)));
        if (this->pick(30) == 0)
            command.number += maximumCallsAhead;
        command.digest = QByteArray::number(this->pick(8) == 0 ? 1 : 0);
        command.model = this->pick(2) == 0;
        command.idempotent = this->pick(2) == 0;
        command.newInputTokens = this->pick(400);
        command.maxOutputTokens = 1 + this->pick(600);
        const CallDecision decision = this->program->decideCall(command, EventTime());
        ErrorKind kind = ErrorKind::InternalError;
        const CallAction expected = this->reference.decide(command, kind);
        if (decision.action != expected
            || (expected == CallAction::Refuse && decision.refusal != kind))
            this->decisionsEqual = false;
        if (!this->decisionsEqual || expected != CallAction::Start)
            return;
        ReferenceProgram::CallRecord record;
        record.command = command;
        record.reserved = this->reference.bound(command);
        this->reference.records.push_back(record);
        this->apply(*decision.started);
    }

    void finishOne()
    {
        std::vector<CallCommand> open;
        for (const auto &record : this->reference.records) {
            if (record.open)
                open.push_back(record.command);
        }
        if (open.empty())
            return;
        const CallCommand command =
                open[static_cast<std::size_t>(this->pick(static_cast<int>(open.size())))];
        DispatchResult result;
        result.completed = this->pick(3) > 0;
        result.executed = static_cast<Executed>(this->pick(3));
        result.httpStatus = result.completed ? 200 : 0;
        if (this->pick(4) > 0) {
            result.inputTokens = this->pick(1500);
            result.outputTokens = this->pick(800);
        }
        this->apply(
                this->program->decideOutcome(command.agent, command.number, result, EventTime()));
        this->reference.finish(command.agent, command.number, result);
    }

    void openSubAgent()
    {
        const int parent = this->pick(static_cast<int>(this->reference.ended.size()));
        const QString id =
                QStringLiteral("zone-a~1~1~vm-1~%1").arg(this->reference.ended.size() + 1);
        try {
            this->apply(this->program->decideSubAgent(id, static_cast<AgentIndex>(parent),
                                                      EventTime()));
        } catch (const LacewingmuxError &) {
            return;
        }
        if (this->reference.ended[static_cast<std::size_t>(parent)])
            this->decisionsEqual = false;
        this->reference.parents.push_back(parent);
        this->reference.ended.push_back(false);
    }

    void end()
    {
        const auto agent =
                static_cast<AgentIndex>(this->pick(static_cast<int>(this->reference.ended.size())));
        this->apply(ProgramEnded{agent, ErrorKind::ProgramEnded, EventTime()});
        this->reference.end(agent);
    }

    /** Continues with a program rebuilt from its journal, sometimes after compaction. */
    void rebuild()
    {
        if (this->pick(2) == 0)
            this->entries = {encodeEvents(this->program->compactEvents())};
        std::vector<ProgramEvent> events;
        for (const QByteArray &entry : this->entries) {
            for (const ProgramEvent &event : decodeEvents(entry))
                events.push_back(event);
        }
        this->program = Program::rebuild(events);
    }

    bool check()
    {
        const TokenBudget &tokens = this->program->budget();
        const std::int64_t used = tokens.spent() + tokens.reserved();
        this->highestUse = std::max(this->highestUse, used);
        return this->decisionsEqual && used == this->reference.used() && used <= budget;
    }

    bool decisionsEqual = true; ///< false after the first difference
    std::mt19937 random;
    std::unique_ptr<Program> program;
    ReferenceProgram reference;
    std::vector<QByteArray> entries;
};

} // namespace

Test(ProgramDifferential, decidesAsTheReferenceDoes)
{
    std::int64_t highestUse = 0;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        Comparison comparison(seed);
        for (int step = 0; step < stepsPerSeed; ++step)
            cr_assert(comparison.step(), "Program and the reference differ at seed %u, step %d",
                      seed, step);
        highestUse = std::max(highestUse, comparison.highestUse);
    }
    cr_assert_geq(highestUse, budget / 2, "the runs must use at least half of the budget");
}

Test(ProgramDifferential, detectsAnOmittedRule)
{
    for (const OmittedRule rule : {OmittedRule::Budget, OmittedRule::Order, OmittedRule::Content}) {
        bool detected = false;
        for (unsigned seed = 1; seed <= seedCount && !detected; ++seed) {
            Comparison comparison(seed, rule);
            for (int step = 0; step < stepsPerSeed && !detected; ++step)
                detected = !comparison.step();
        }
        cr_assert(detected, "the omission of rule %d was not detected", static_cast<int>(rule));
    }
}

Test(EventCodec, decodingDamagedEntriesThrowsOnlyInternalError)
{
    ProgramOpened opened;
    opened.program = QStringLiteral("zone-a~1~1~vm-1~1");
    const QByteArray entry = encodeEvents({opened});
    std::mt19937 random(7);
    for (int tries = 0; tries < 2000; ++tries) {
        QByteArray damaged = entry;
        damaged[static_cast<qsizetype>(random() % static_cast<unsigned>(entry.size()))] =
                static_cast<char>(random());
        if (random() % 4 == 0)
            damaged.truncate(static_cast<qsizetype>(random() % 40));
        try {
            (void)Program::rebuild(decodeEvents(damaged));
        } catch (const LacewingmuxError &error) {
            cr_assert_eq(error.kind(), ErrorKind::InternalError);
        }
    }
}
