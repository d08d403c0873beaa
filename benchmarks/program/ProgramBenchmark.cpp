#include "lacewingmux_core/ids/MintedId.h"
#include "lacewingmux_program/events/EventCodec.h"
#include "lacewingmux_program/owner/ProgramRepository.h"
#include "lacewingmux_program/programs/EngineRequest.h"

#include <benchmark/benchmark.h>

#include <QByteArrayList>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <malloc.h>

#include <random>
#include <stdexcept>

namespace lacewingmux {

namespace {

constexpr qsizetype bytesPerToken = 4;
constexpr int vocabularyWords = 4000;
constexpr int activePrograms = 1000; ///< programs in use at a time

/** Generates text with Zipf-distributed words, so that it compresses about as well as prose. */
class TextSource
{
public:
    TextSource()
        : random(11)
    {
        std::vector<double> weights;
        for (int rank = 1; rank <= vocabularyWords; ++rank) {
            QByteArray word;
            for (unsigned length = 2 + this->random() % 8; length > 0; --length)
                word += static_cast<char>('a' + this->random() % 26);
            this->words.append(word);
            weights.push_back(1.0 / rank);
        }
        this->ranks = std::discrete_distribution<int>(weights.begin(), weights.end());
    }

    QByteArray text(qsizetype bytes)
    {
        QByteArray result;
        while (result.size() < bytes)
            result += this->words.at(this->ranks(this->random)) + ' ';
        return result;
    }

private:
    std::mt19937 random;
    QByteArrayList words;
    std::discrete_distribution<int> ranks;
};

ProgramOpened openingOf(std::uint64_t serial)
{
    ProgramOpened opened;
    opened.program =
            MintedId(QStringLiteral("zone-a"), 7, QStringLiteral("vm-1"), 1, serial).toString();
    opened.team = QStringLiteral("akwaaba");
    opened.keyId = QStringLiteral("key-1");
    opened.budgetTokens = 100000000;
    opened.turnLimit = 200;
    opened.timeout = std::chrono::hours(1);
    opened.idleTimeout = std::chrono::minutes(15);
    return opened;
}

QByteArray messagesOf(const QByteArray &text)
{
    const QJsonObject message{{QStringLiteral("role"), QStringLiteral("user")},
                              {QStringLiteral("content"), QString::fromLatin1(text)}};
    const QJsonObject call{{QStringLiteral("messages"), QJsonArray{message}}};
    return QJsonDocument(call).toJson(QJsonDocument::Compact);
}

QByteArray answerOf(const QByteArray &text)
{
    const QJsonObject message{{QStringLiteral("role"), QStringLiteral("assistant")},
                              {QStringLiteral("content"), QString::fromLatin1(text)}};
    const QJsonObject choice{{QStringLiteral("message"), message}};
    const QJsonObject answer{{QStringLiteral("choices"), QJsonArray{choice}}};
    return QJsonDocument(answer).toJson(QJsonDocument::Compact);
}

CallCommand commandOf(std::uint32_t number, const QByteArray &body)
{
    CallCommand command;
    command.number = number;
    command.digest = QByteArray(32, 'd');
    command.route = QStringLiteral("assistant");
    command.keyId = QStringLiteral("key-1");
    command.model = true;
    command.newInputTokens = 100;
    command.maxOutputTokens = 1000;
    command.body = body;
    return command;
}

/** Adds the given number of turns to a program, each with bytesPerTurn bytes of text. */
void addTurns(ProgramRepository &programs, const QString &id, int turns, qsizetype bytesPerTurn,
              TextSource &source)
{
    for (int turn = 1; turn <= turns; ++turn) {
        Program &program = *programs.find(id, EventTime());
        const QByteArray body = messagesOf(source.text(bytesPerTurn / 2));
        const CallDecision decision =
                program.decideCall(commandOf(static_cast<std::uint32_t>(turn), body), EventTime());
        programs.record(program, *decision.started, encodeEvents({*decision.started}));
        DispatchResult result;
        result.completed = true;
        result.httpStatus = 200;
        result.body = answerOf(source.text(bytesPerTurn / 2));
        result.inputTokens = 1;
        result.outputTokens = bytesPerTurn / bytesPerToken / 2;
        result.replica = QStringLiteral("replica-1");
        result.zone = QStringLiteral("zone-a");
        const ProgramEvent outcome =
                program.decideOutcome(0, static_cast<std::uint32_t>(turn), result, EventTime());
        programs.record(program, outcome, encodeEvents({outcome}));
    }
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** Measures one call: find its program, decide, and encode the event for the journal. */
void decideCall(benchmark::State &state)
{
    ProgramRepository programs;
    std::vector<QString> ids;
    for (std::int64_t serial = 0; serial < state.range(0); ++serial) {
        const ProgramOpened opened = openingOf(static_cast<std::uint64_t>(serial));
        Program &program = programs.open(opened, encodeEvents({opened}));
        programs.schedule(program, opened.at + opened.idleTimeout);
        if (serial % 1000 == 999)
            programs.unload(EventTime());
        ids.push_back(opened.program);
    }
    std::mt19937 random(3);
    std::shuffle(ids.begin(), ids.end(), random);
    ids.resize(std::min<std::size_t>(ids.size(), activePrograms));
    const QByteArray body = messagesOf(QByteArray(400, 'x'));
    const CallCommand command = commandOf(1, body);
    std::size_t next = 0;
    for (auto _ : state) {
        Program &program = *programs.find(ids[next++ % ids.size()], EventTime());
        const CallDecision decision = program.decideCall(command, EventTime());
        benchmark::DoNotOptimize(encodeEvents({*decision.started}));
        programs.schedule(program, EventTime() + std::chrono::seconds(next));
    }
}

/** Measures rebuilding a program from its entries, with turns of 1,400 tokens each. */
void rebuildProgram(benchmark::State &state)
{
    ProgramRepository programs;
    TextSource source;
    const ProgramOpened opened = openingOf(1);
    programs.open(opened, encodeEvents({opened}));
    addTurns(programs, opened.program, static_cast<int>(state.range(0)), 1400 * bytesPerToken,
             source);
    for (auto _ : state) {
        programs.unload(EventTime());
        benchmark::DoNotOptimize(programs.find(opened.program, EventTime()));
    }
}

/** Measures building an engine request after turns of 1,400 tokens, with or without a reload. */
void buildEngineRequest(benchmark::State &state, bool reloaded)
{
    ProgramRepository programs;
    TextSource source;
    const ProgramOpened opened = openingOf(1);
    programs.open(opened, encodeEvents({opened}));
    const int turns = static_cast<int>(state.range(0));
    addTurns(programs, opened.program, turns, 1400 * bytesPerToken, source);
    Program &program = *programs.find(opened.program, EventTime());
    const QByteArray body = messagesOf(source.text(400));
    const CallDecision decision =
            program.decideCall(commandOf(static_cast<std::uint32_t>(turns + 1), body), EventTime());
    program.apply(*decision.started);
    for (auto _ : state) {
        if (reloaded)
            program.agents().front().engineHistory = EngineHistory();
        benchmark::DoNotOptimize(engineRequestBody(program.agents().front(),
                                                   static_cast<std::uint32_t>(turns + 1), false));
    }
}

/** Measures the heap of idle programs with 140,000 tokens in 98 turns, or just opened. */
void idleProgramMemory(benchmark::State &state)
{
    constexpr int programCount = 20;
    TextSource source;
    ProgramRepository programs;
    const double before = heapBytes();
    for (std::uint64_t serial = 0; serial < programCount; ++serial) {
        const ProgramOpened opened = openingOf(serial);
        Program &program = programs.open(opened, encodeEvents({opened}));
        programs.schedule(program, opened.at + opened.idleTimeout);
        const int turns = static_cast<int>(state.range(0));
        if (turns > 0)
            addTurns(programs, opened.program, turns, 140000 / turns * bytesPerToken, source);
    }
    const double loaded = heapBytes() - before;
    programs.unload(EventTime());
    const double idle = heapBytes() - before;
    for (auto _ : state)
        benchmark::DoNotOptimize(programs.size());
    state.counters["idleBytes"] = idle / programCount;
    state.counters["loadedBytes"] = loaded / programCount;
}

} // namespace

BENCHMARK(decideCall)->RangeMultiplier(10)->Range(1000, 1000000);
BENCHMARK(rebuildProgram)->Arg(1)->Arg(10)->Arg(98);
BENCHMARK_CAPTURE(buildEngineRequest, again, false)->Arg(1)->Arg(10)->Arg(98);
BENCHMARK_CAPTURE(buildEngineRequest, reloaded, true)->Arg(1)->Arg(10)->Arg(98);
BENCHMARK(idleProgramMemory)->Arg(0)->Arg(98)->Iterations(1);

} // namespace lacewingmux
