#include "OwnerTestFixture.h"
#include "OwnerTrace.h"

#include <criterion/criterion.h>

#include <QJsonArray>

#include <random>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seedCount = 200;
constexpr int stepsPerSeed = 250;
constexpr std::int64_t budget = 800; ///< in tokens; an answer uses 120

/** A mechanism that a schedule leaves out on purpose, to show that a check notices. */
enum class Fault { None, NoBudget, StateTakenForNew, AnswersSwapped, OrderIgnored };

/** Runs random calls, ends, losses and takeovers over several programs and keeps the trace. */
class Schedule
{
public:
    explicit Schedule(unsigned seed, Fault injected = Fault::None)
        : random(seed)
        , fault(injected)
    {
        auto configuration = OwnerTestFixture::makeConfiguration();
        configuration->allowances[0].programBudgetTokens =
                this->fault == Fault::NoBudget ? 0 : budget;
        this->bench.configuration = configuration;
        this->bench.restart();
        this->bench.dispatcher.onDispatch = [this](const FakeDispatcher::Sent &sent) {
            this->observeDispatch(sent);
        };
        for (int index = 0; index < 3; ++index) {
            const QString root = this->bench.open();
            this->addAgent(root, root);
            this->addAgent(this->bench.open(root), root);
        }
    }

    Trace run()
    {
        for (int step = 0; step < stepsPerSeed; ++step)
            this->step();
        this->bench.journal.releaseCommits();
        this->bench.timers.runPosted();
        for (int rounds = 0; rounds < 3 * stepsPerSeed && !this->open.empty(); ++rounds)
            this->finishOne(true);
        this->fetchAll();
        return this->trace;
    }

private:
    struct Agent
    {
        QString id;
        QString root;
        std::uint32_t next = 1;
    };

    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    void addAgent(const QString &id, const QString &root)
    {
        this->agents.push_back({id, root});
        this->rootOf[id] = root;
    }

    void step()
    {
        const int action = this->pick(20);
        if (action < 8)
            this->ask();
        else if (action == 8)
            this->askWithKey();
        else if (action < 15)
            this->finishOne(this->pick(4) > 0);
        else if (action == 15)
            this->bench.journal.holdCommits();
        else if (action == 16 || action == 17)
            this->bench.journal.releaseCommits();
        else if (action == 18 && this->pick(3) == 0)
            this->takeOver();
        else
            this->bench.timers.advance(100ms);
        this->bench.timers.runPosted();
    }

    /** Returns which call a dispatch belongs to; a keyed request counts as call 1 of its key. */
    [[nodiscard]] static TraceCall callOf(const DispatchRequest &request)
    {
        if (!request.program.isEmpty())
            return {request.program, request.callNumber};
        return {request.requestId.section(u'\n', -1), 1};
    }

    void askWithKey()
    {
        OwnerRequest request = OwnerTestFixture::request(OwnerOperation::ServiceCall, {});
        request.idempotencyKey = QStringLiteral("key-%1").arg(this->pick(6));
        request.route = QStringLiteral("booking");
        request.body = "a truck";
        this->ask(request, {request.idempotencyKey, 1});
    }

    void ask(const OwnerRequest &request, const TraceCall &call)
    {
        this->bench.ask(request, [this, call](const Received &received) {
            this->observeAnswer(call, received);
        });
        if (this->fault == Fault::OrderIgnored)
            this->trace.push_back(
                    this->record(TraceRecord::Kind::Dispatched, call.first, call.second));
    }

    void ask()
    {
        Agent &agent = this->agents[static_cast<std::size_t>(
                this->pick(static_cast<int>(this->agents.size())))];
        const int number = std::max(1, static_cast<int>(agent.next) - 1 + this->pick(3));
        if (number == static_cast<int>(agent.next))
            ++agent.next;
        const auto chosen = static_cast<std::uint32_t>(number);
        const QByteArray text = "call " + QByteArray::number(number);
        const OwnerRequest request =
                number % 3 == 0 ? OwnerTestFixture::serviceCall(agent.id, chosen, "booking", text)
                                : OwnerTestFixture::modelCall(agent.id, chosen, text);
        this->ask(request, {agent.id, chosen});
    }

    void finishOne(bool succeeds)
    {
        if (this->open.empty())
            return;
        const auto index =
                static_cast<std::size_t>(this->pick(static_cast<int>(this->open.size())));
        const FakeDispatcher::Sent sent = this->open[index];
        this->open.erase(this->open.begin() + static_cast<std::ptrdiff_t>(index));
        const bool live = this->bench.dispatcher.open.contains(sent.handle) && !this->isStale(sent);
        const bool notRun = !succeeds && this->pick(2) == 0;
        const auto [agent, number] = callOf(sent.request);
        if (live)
            this->trace.push_back(
                    this->record(notRun ? TraceRecord::Kind::DidNotRun : TraceRecord::Kind::Outcome,
                                 agent, number));
        if (succeeds) {
            QByteArray name = agent.toUtf8() + '/' + QByteArray::number(number) + '!';
            if (this->fault == Fault::AnswersSwapped && this->pick(10) == 0)
                name = "another";
            const std::int64_t tokens = sent.request.maxOutputTokens;
            this->bench.dispatcher.answer(sent.handle, name, tokens > 0 ? 20 : 0, tokens);
        } else {
            DispatchResult result;
            result.error = ErrorKind::BackendFailed;
            result.executed = notRun ? Executed::No : Executed::Unknown;
            this->bench.dispatcher.finish(sent.handle, result);
        }
        this->bench.timers.runPosted();
    }

    [[nodiscard]] bool isStale(const FakeDispatcher::Sent &sent) const
    {
        return sent.handle < this->firstHandleOfOwner;
    }

    /** The owner loses all slots, perhaps with uncommitted entries, and another one takes over. */
    void takeOver()
    {
        this->bench.journal.stepDownAll();
        this->bench.journal.releaseCommits();
        this->bench.timers.runPosted();
        this->trace.push_back({TraceRecord::Kind::Takeover, {}, 0, true, {}, 0, {}});
        this->firstHandleOfOwner = this->bench.dispatcher.sent.size() + 1;
        const bool sameVm = this->fault == Fault::None && this->pick(3) == 0;
        if (!sameVm)
            this->bench.owner.reset();
        if (this->fault == Fault::StateTakenForNew)
            this->forgetOutcomes();
        if (!sameVm)
            this->bench.restart();
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
            this->bench.journal.activate(slot);
        this->bench.timers.runPosted();
    }

    /** Takes the last entries from each program, as a journal that acknowledged too early. */
    void forgetOutcomes()
    {
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot) {
            for (const AggregateRecord &record : this->bench.journal.records(slot).toRecords()) {
                this->bench.journal.activate(slot);
                this->bench.journal.replace(record.id, record.entries.front(), {});
                for (std::size_t index = 1; index + 2 < record.entries.size(); ++index)
                    this->bench.journal.append(record.id, record.entries[index], {});
            }
        }
        this->bench.timers.runPosted();
    }

    [[nodiscard]] TraceRecord record(TraceRecord::Kind kind, const QString &agent,
                                     std::uint32_t number) const
    {
        TraceRecord made;
        made.kind = kind;
        made.agent = agent;
        made.number = number;
        const auto root = this->rootOf.find(agent);
        made.root = root == this->rootOf.end() ? agent : root->second;
        return made;
    }

    void observeDispatch(const FakeDispatcher::Sent &sent)
    {
        const auto [agent, number] = callOf(sent.request);
        TraceRecord made = this->record(TraceRecord::Kind::Dispatched, agent, number);
        made.idempotent = sent.request.idempotent;
        if (this->fault != Fault::OrderIgnored)
            this->trace.push_back(made);
        this->open.push_back(sent);
    }

    void observeAnswer(const TraceCall &call, const Received &received)
    {
        cr_assert_eq(received.terminations, 1);
        const bool refused = received.error && received.error->executed() == Executed::No
                             && received.error->kind() != ErrorKind::CallConflict;
        if (!received.ended && !refused)
            return;
        TraceRecord made = this->record(received.ended ? TraceRecord::Kind::Answered
                                                       : TraceRecord::Kind::RefusedNotRun,
                                        call.first, call.second);
        made.body = received.body;
        const bool model = call.second % 3 != 0 && this->rootOf.contains(call.first);
        made.tokens = model ? 120 : 0;
        this->trace.push_back(made);
    }

    /** Every answer that was given must still be what the history holds. */
    void fetchAll()
    {
        for (const Agent &agent : this->agents) {
            for (std::uint32_t number = 1; number < agent.next; ++number) {
                OwnerRequest fetch = OwnerTestFixture::request(OwnerOperation::FetchCall, agent.id);
                fetch.callNumber = number;
                const auto received = this->bench.ask(fetch);
                if (received->ended)
                    this->observeAnswer({agent.id, number}, *received);
            }
        }
    }

    std::mt19937 random;
    Fault fault;
    OwnerTestFixture bench;
    std::vector<Agent> agents;
    std::map<QString, QString> rootOf;
    std::vector<FakeDispatcher::Sent> open;
    DispatchHandle firstHandleOfOwner = 1;
    Trace trace;
};

std::optional<std::string> check(const Trace &trace)
{
    for (const auto &broken : {checkAtMostOnce(trace), checkOrder(trace), checkAnswers(trace),
                               checkRefusals(trace), checkBudget(trace, budget)}) {
        if (broken)
            return broken;
    }
    return std::nullopt;
}

std::size_t countOf(const Trace &trace, TraceRecord::Kind kind)
{
    return static_cast<std::size_t>(
            std::count_if(trace.begin(), trace.end(),
                          [kind](const TraceRecord &record) { return record.kind == kind; }));
}

bool isNoticed(Fault fault, const std::function<bool(const Trace &)> &broken)
{
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        if (broken(Schedule(seed, fault).run()))
            return true;
    }
    return false;
}

} // namespace

Test(OwnerSchedule, holdsItsInvariantsThroughLossesAndTakeovers)
{
    std::size_t answers = 0;
    std::size_t takeovers = 0;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        const Trace trace = Schedule(seed).run();
        const auto broken = check(trace);
        cr_assert_not(broken.has_value(), "seed %u: %s", seed, broken ? broken->c_str() : "");
        answers += countOf(trace, TraceRecord::Kind::Answered);
        takeovers += countOf(trace, TraceRecord::Kind::Takeover);
    }
    cr_assert_gt(answers, 1000, "too few answers (%zu) to mean anything", answers);
    cr_assert_gt(takeovers, 50, "too few takeovers: %zu", takeovers);
}

Test(OwnerSchedule, checkOfTheBudgetNoticesThatNoneIsKept)
{
    cr_assert(isNoticed(Fault::NoBudget,
                        [](const Trace &trace) { return checkBudget(trace, budget).has_value(); }));
}

Test(OwnerSchedule, checkOfAtMostOnceNoticesStateTakenForNew)
{
    cr_assert(isNoticed(Fault::StateTakenForNew,
                        [](const Trace &trace) { return checkAtMostOnce(trace).has_value(); }));
}

Test(OwnerSchedule, checkOfRefusalsNoticesStateTakenForNew)
{
    cr_assert(isNoticed(Fault::StateTakenForNew,
                        [](const Trace &trace) { return checkRefusals(trace).has_value(); }));
}

Test(OwnerSchedule, checkOfAnswersNoticesAnAnswerOfAnother)
{
    cr_assert(isNoticed(Fault::AnswersSwapped,
                        [](const Trace &trace) { return checkAnswers(trace).has_value(); }));
}

Test(OwnerSchedule, checkOfOrderNoticesCallsRunAsTheyCome)
{
    cr_assert(isNoticed(Fault::OrderIgnored,
                        [](const Trace &trace) { return checkOrder(trace).has_value(); }));
}
