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
constexpr std::int64_t budget = 800; ///< in tokens; a response uses 120

/** A fault that a schedule injects, to show that a check detects it. */
enum class Fault { None, NoBudget, OutcomesForgotten, AnswersSwapped, OrderIgnored };

/** Runs random calls, results, slot losses and takeovers on several programs; keeps the trace. */
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
        this->fixture.configuration = configuration;
        this->fixture.restart();
        this->fixture.dispatcher.onDispatch = [this](const FakeDispatcher::Sent &sent) {
            this->observeDispatch(sent);
        };
        for (int index = 0; index < 3; ++index) {
            const QString root = this->fixture.open();
            this->addAgent(root, root);
            this->addAgent(this->fixture.open(root), root);
        }
    }

    Trace run()
    {
        for (int step = 0; step < stepsPerSeed; ++step)
            this->step();
        this->fixture.journal.releaseCommits();
        this->fixture.timers.runPosted();
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
            this->sendRequest();
        else if (action == 8)
            this->sendKeyedRequest();
        else if (action < 15)
            this->finishOne(this->pick(4) > 0);
        else if (action == 15)
            this->fixture.journal.holdCommits();
        else if (action == 16 || action == 17)
            this->fixture.journal.releaseCommits();
        else if (action == 18 && this->pick(3) == 0)
            this->takeOver();
        else
            this->fixture.timers.advance(100ms);
        this->fixture.timers.runPosted();
    }

    /** Returns the call of a dispatch; a keyed request counts as call 1 of its key. */
    [[nodiscard]] static TraceCall callOf(const DispatchRequest &request)
    {
        if (!request.program.isEmpty())
            return {request.program, request.callNumber};
        return {request.requestId.section(u'\n', -1), 1};
    }

    void sendKeyedRequest()
    {
        OwnerRequest request = OwnerTestFixture::request(OwnerOperation::ServiceCall, {});
        request.idempotencyKey = QStringLiteral("key-%1").arg(this->pick(6));
        request.route = QStringLiteral("booking");
        request.body = "a truck";
        this->sendRequest(request, {request.idempotencyKey, 1});
    }

    void sendRequest(const OwnerRequest &request, const TraceCall &call)
    {
        this->fixture.send(request, [this, call](const ReceivedResponse &received) {
            this->observeAnswer(call, received);
        });
        if (this->fault == Fault::OrderIgnored)
            this->trace.push_back(
                    this->record(TraceRecord::Kind::Dispatched, call.first, call.second));
    }

    void sendRequest()
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
        this->sendRequest(request, {agent.id, chosen});
    }

    void finishOne(bool succeeds)
    {
        if (this->open.empty())
            return;
        const auto index =
                static_cast<std::size_t>(this->pick(static_cast<int>(this->open.size())));
        const FakeDispatcher::Sent sent = this->open[index];
        this->open.erase(this->open.begin() + static_cast<std::ptrdiff_t>(index));
        const bool live =
                this->fixture.dispatcher.open.contains(sent.handle) && !this->isStale(sent);
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
            this->fixture.dispatcher.answer(sent.handle, name, tokens > 0 ? 20 : 0, tokens);
        } else {
            DispatchResult result;
            result.error = ErrorKind::BackendFailed;
            result.executed = notRun ? Executed::No : Executed::Unknown;
            this->fixture.dispatcher.finish(sent.handle, result);
        }
        this->fixture.timers.runPosted();
    }

    [[nodiscard]] bool isStale(const FakeDispatcher::Sent &sent) const
    {
        return sent.handle < this->firstHandleOfOwner;
    }

    /** The owner loses all slots, possibly with uncommitted entries, and an owner takes over. */
    void takeOver()
    {
        this->fixture.journal.stepDownAll();
        this->fixture.journal.releaseCommits();
        this->fixture.timers.runPosted();
        this->trace.push_back({TraceRecord::Kind::Takeover, {}, 0, true, {}, 0, {}});
        this->firstHandleOfOwner = this->fixture.dispatcher.sent.size() + 1;
        const bool sameVm = this->fault == Fault::None && this->pick(3) == 0;
        if (!sameVm)
            this->fixture.owner.reset();
        if (this->fault == Fault::OutcomesForgotten)
            this->forgetOutcomes();
        if (!sameVm)
            this->fixture.restart();
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
            this->fixture.journal.activate(slot);
        this->fixture.timers.runPosted();
    }

    /** Removes the last entries of each program, like a journal that acknowledged too early. */
    void forgetOutcomes()
    {
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot) {
            for (const AggregateRecord &record : this->fixture.journal.records(slot).toRecords()) {
                this->fixture.journal.activate(slot);
                this->fixture.journal.replace(record.id, record.entries.front(), {});
                for (std::size_t index = 1; index + 2 < record.entries.size(); ++index)
                    this->fixture.journal.append(record.id, record.entries[index], {});
            }
        }
        this->fixture.timers.runPosted();
    }

    [[nodiscard]] TraceRecord record(TraceRecord::Kind kind, const QString &agent,
                                     std::uint32_t number) const
    {
        TraceRecord traceRecord;
        traceRecord.kind = kind;
        traceRecord.agent = agent;
        traceRecord.number = number;
        const auto root = this->rootOf.find(agent);
        traceRecord.root = root == this->rootOf.end() ? agent : root->second;
        return traceRecord;
    }

    void observeDispatch(const FakeDispatcher::Sent &sent)
    {
        const auto [agent, number] = callOf(sent.request);
        TraceRecord traceRecord = this->record(TraceRecord::Kind::Dispatched, agent, number);
        traceRecord.idempotent = sent.request.idempotent;
        if (this->fault != Fault::OrderIgnored)
            this->trace.push_back(traceRecord);
        this->open.push_back(sent);
    }

    void observeAnswer(const TraceCall &call, const ReceivedResponse &received)
    {
        cr_assert_eq(received.terminations, 1);
        const bool refused = received.error && received.error->executed() == Executed::No
                             && received.error->kind() != ErrorKind::CallConflict;
        if (!received.ended && !refused)
            return;
        TraceRecord traceRecord = this->record(received.ended ? TraceRecord::Kind::Answered
                                                              : TraceRecord::Kind::RefusedNotRun,
                                               call.first, call.second);
        traceRecord.body = received.body;
        const bool model = call.second % 3 != 0 && this->rootOf.contains(call.first);
        traceRecord.tokens = model ? 120 : 0;
        this->trace.push_back(traceRecord);
    }

    /** Fetches all calls: each response sent earlier must still match the history. */
    void fetchAll()
    {
        for (const Agent &agent : this->agents) {
            for (std::uint32_t number = 1; number < agent.next; ++number) {
                OwnerRequest fetch = OwnerTestFixture::request(OwnerOperation::FetchCall, agent.id);
                fetch.callNumber = number;
                const auto received = this->fixture.send(fetch);
                if (received->ended)
                    this->observeAnswer({agent.id, number}, *received);
            }
        }
    }

    std::mt19937 random;
    Fault fault;
    OwnerTestFixture fixture;
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

bool isDetected(Fault fault, const std::function<bool(const Trace &)> &broken)
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
    cr_assert_gt(answers, 1000, "too few answers (%zu) for a meaningful run", answers);
    cr_assert_gt(takeovers, 50, "too few takeovers: %zu", takeovers);
}

Test(OwnerSchedule, checkOfTheBudgetDetectsThatNoneIsKept)
{
    cr_assert(isDetected(Fault::NoBudget, [](const Trace &trace) {
        return checkBudget(trace, budget).has_value();
    }));
}

Test(OwnerSchedule, checkOfAtMostOnceDetectsForgottenOutcomes)
{
    cr_assert(isDetected(Fault::OutcomesForgotten,
                         [](const Trace &trace) { return checkAtMostOnce(trace).has_value(); }));
}

Test(OwnerSchedule, checkOfRefusalsDetectsForgottenOutcomes)
{
    cr_assert(isDetected(Fault::OutcomesForgotten,
                         [](const Trace &trace) { return checkRefusals(trace).has_value(); }));
}

Test(OwnerSchedule, checkOfAnswersDetectsAnAnswerOfAnother)
{
    cr_assert(isDetected(Fault::AnswersSwapped,
                         [](const Trace &trace) { return checkAnswers(trace).has_value(); }));
}

Test(OwnerSchedule, checkOfOrderDetectsCallsRunAsTheyCome)
{
    cr_assert(isDetected(Fault::OrderIgnored,
                         [](const Trace &trace) { return checkOrder(trace).has_value(); }));
}
