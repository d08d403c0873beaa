#include "scenario/ProgramWorkload.h"

#include "deployment/EventLoopWait.h"
#include "events/InvariantChecks.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <algorithm>

using lacewingmux::standin::waitUntil;

namespace {

constexpr std::chrono::milliseconds shortestPause{100};
constexpr std::chrono::milliseconds requestTimeout{8000};

QByteArray modelCall(const QString &marker)
{
    const QJsonObject message{{QStringLiteral("role"), QStringLiteral("user")},
                              {QStringLiteral("content"), QStringLiteral("what of ") + marker}};
    return QJsonDocument(QJsonObject{{QStringLiteral("route"), QStringLiteral("assistant")},
                                     {QStringLiteral("messages"), QJsonArray{message}}})
            .toJson(QJsonDocument::Compact);
}

QByteArray bookingCall(const QString &marker)
{
    return QJsonDocument(QJsonObject{{QStringLiteral("route"), QStringLiteral("booking")},
                                     {QStringLiteral("method"), QStringLiteral("POST")},
                                     {QStringLiteral("path"), QStringLiteral("/bookings")},
                                     {QStringLiteral("body"),
                                      QJsonObject{{QStringLiteral("order"), marker}}}})
            .toJson(QJsonDocument::Compact);
}

} // namespace

ProgramWorkload::ProgramWorkload(Scenario &testScenario, int programCount,
                                 std::uint32_t callsOfEach)
    : scenario(testScenario)
    , caller(Scenario::team(), testScenario.key())
    , callCount(callsOfEach)
    , targetVms(Scenario::vms())
{
    for (int index = 0; index < programCount; ++index) {
        this->chains.push_back(std::make_unique<Chain>());
        this->chains.back()->index = index;
    }
}

void ProgramWorkload::start()
{
    for (const auto &chain : this->chains)
        this->open(*chain);
}

bool ProgramWorkload::finish(std::chrono::milliseconds bound)
{
    const bool finished = waitUntil(
            [this] {
                return std::all_of(this->chains.begin(), this->chains.end(),
                                   [](const auto &chain) { return chain->done; });
            },
            bound);
    if (!finished)
        this->printUnfinished();
    return finished;
}

void ProgramWorkload::printUnfinished() const
{
    for (const auto &chain : this->chains) {
        if (chain->done)
            continue;
        cr_log_warn("program %d (%s) hangs at call %u", chain->index, qPrintable(chain->id),
                    chain->nextCall);
        int shown = 0;
        for (auto attempt = this->attempts().rbegin(); attempt != this->attempts().rend();
             ++attempt) {
            const bool isLast = attempt->program == chain->id && shown < 4;
            if (!isLast)
                continue;
            ++shown;
            cr_log_warn("  status %d: %s", attempt->httpStatus, attempt->body.constData());
        }
    }
}

bool ProgramWorkload::runUntilAnswered(int calls, std::chrono::milliseconds bound)
{
    return waitUntil([this, calls] { return this->answered >= calls; }, bound);
}

void ProgramWorkload::useVms(const QStringList &vms)
{
    this->targetVms = vms;
}

void ProgramWorkload::check()
{
    const std::vector<BackendRun> runs = this->scenario.serviceRuns();
    assertNone(checkAtMostOnce(this->attempts(), runs));
    assertNone(checkNotRunIsTrue(this->attempts(), runs));
    assertNone(checkAnswersAreOwn(this->attempts()));
    assertNone(checkOrder(this->attempts(), runs));
    assertNone(checkNoKeySeen(runs, {this->scenario.key()}));
    assertNone(checkRefusalsTellWhenToReturn(this->attempts()));
    cr_assert_not(this->scenario.engineSaw(this->scenario.key()));
    const std::vector<CallerAttempt> sofar = this->attempts();
    for (const auto &chain : this->chains) {
        if (!chain->id.isEmpty())
            assertNone(checkHistory(sofar, chain->id, this->historyOf(*chain)));
    }
}

std::vector<QString> ProgramWorkload::programIds() const
{
    std::vector<QString> ids;
    for (const auto &chain : this->chains)
        ids.push_back(chain->id);
    return ids;
}

void ProgramWorkload::open(Chain &chain)
{
    CallerRequestSpec spec;
    spec.front = this->scenario.deployment().daemon(this->nextVm()).callers();
    spec.path = QStringLiteral("/v1/programs");
    spec.body = "{}";
    spec.timeout = requestTimeout;
    this->caller.send(spec, [this, &chain](const CallerAttempt &attempt) {
        if (attempt.outcome != AttemptOutcome::Answered) {
            this->again(chain, attempt.retryAfter);
            return;
        }
        chain.id = QJsonDocument::fromJson(attempt.body)
                           .object()
                           .value(QStringLiteral("program"))
                           .toString();
        this->call(chain);
    });
}

void ProgramWorkload::call(Chain &chain)
{
    this->caller.send(this->specFor(chain), [this, &chain](const CallerAttempt &attempt) {
        this->onAnswer(chain, attempt);
    });
}

void ProgramWorkload::onAnswer(Chain &chain, const CallerAttempt &attempt)
{
    const bool isUnknown = attempt.outcome == AttemptOutcome::Refused
                           && attempt.executed == QLatin1String("unknown")
                           && attempt.retryAfter.count() == 0;
    const bool isFinal = attempt.outcome == AttemptOutcome::Refused
                         && attempt.retryAfter.count() == 0 && !isUnknown;
    if (isFinal) {
        this->refusedForGood.push_back(attempt);
        chain.done = true;
        return;
    }
    if (attempt.outcome != AttemptOutcome::Answered && !isUnknown) {
        this->again(chain, attempt.retryAfter);
        return;
    }
    if (isUnknown)
        ++this->unknown;
    else
        ++this->answered;
    if (++chain.nextCall > this->callCount)
        chain.done = true;
    else
        this->call(chain);
}

void ProgramWorkload::again(Chain &chain, std::chrono::milliseconds pause)
{
    QTimer::singleShot(std::max(pause, shortestPause), QCoreApplication::instance(),
                       [this, &chain] {
                           if (chain.id.isEmpty())
                               this->open(chain);
                           else
                               this->call(chain);
                       });
}

CallerRequestSpec ProgramWorkload::specFor(const Chain &chain)
{
    const bool isBooking = chain.nextCall % 2 == 0;
    CallerRequestSpec spec;
    spec.front = this->scenario.deployment().daemon(this->nextVm()).callers();
    spec.path = QStringLiteral("/v1/programs/%1/calls/%2").arg(chain.id).arg(chain.nextCall);
    spec.marker = QStringLiteral("mark-%1-%2-end").arg(chain.index).arg(chain.nextCall);
    spec.body = isBooking ? bookingCall(spec.marker) : modelCall(spec.marker);
    spec.program = chain.id;
    spec.callNumber = chain.nextCall;
    spec.idempotent = !isBooking;
    spec.timeout = requestTimeout;
    return spec;
}

QString ProgramWorkload::nextVm()
{
    return this->targetVms.at(this->vmIndex++ % this->targetVms.size());
}

QByteArray ProgramWorkload::historyOf(const Chain &chain)
{
    QByteArray history;
    const bool read = waitUntil(
            [this, &chain, &history] {
                CallerRequestSpec spec;
                spec.front = this->scenario.deployment().daemon(this->nextVm()).callers();
                spec.method = "GET";
                spec.path = QStringLiteral("/v1/programs/%1/history").arg(chain.id);
                spec.marker = QStringLiteral("history-%1").arg(chain.index);
                spec.timeout = requestTimeout;
                TestCaller reader(Scenario::team(), this->scenario.key());
                const CallerAttempt attempt = reader.sendAndWait(spec);
                history = attempt.body;
                return attempt.outcome == AttemptOutcome::Answered;
            },
            std::chrono::minutes(1));
    cr_assert(read, "no history of %s: %s", qPrintable(chain.id), history.constData());
    return history;
}
