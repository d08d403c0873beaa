#include "scenario/Scenario.h"

#include "deployment/BlockingHttp.h"
#include "deployment/EventLoopWait.h"
#include "lacewingmux_core/logging/StructuredLog.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingmux::standin;

namespace {

constexpr std::chrono::milliseconds patience{60000};
constexpr double unlimited = 10000; ///< requests a second that no test reaches

QJsonObject configuration(double requestsPerSecond, double burst)
{
    const QJsonObject plan{{QStringLiteral("team"), Scenario::team()},
                           {QStringLiteral("plan"), QStringLiteral("standard")}};
    const QJsonObject allowance{{QStringLiteral("plan"), QStringLiteral("standard")},
                                {QStringLiteral("requestsPerSecond"), requestsPerSecond},
                                {QStringLiteral("burstRequests"), burst},
                                {QStringLiteral("programBudgetTokens"), 1000000},
                                {QStringLiteral("programTurnLimit"), 98}};
    const QJsonObject assistant{{QStringLiteral("name"), QStringLiteral("assistant")},
                                {QStringLiteral("kind"), QStringLiteral("engine")},
                                {QStringLiteral("maxOutputTokens"), 16}};
    const QJsonObject booking{{QStringLiteral("name"), QStringLiteral("booking")},
                              {QStringLiteral("kind"), QStringLiteral("service")},
                              {QStringLiteral("idempotent"), false}};
    return QJsonObject{{QStringLiteral("plans"), QJsonArray{plan}},
                       {QStringLiteral("allowances"), QJsonArray{allowance}},
                       {QStringLiteral("routes"), QJsonArray{assistant, booking}}};
}

PlannedBackend backend(const QString &name, const QString &zone, bool isEngine)
{
    PlannedBackend planned;
    planned.name = name;
    planned.zone = zone;
    planned.isEngine = isEngine;
    planned.route = isEngine ? QStringLiteral("assistant") : QStringLiteral("booking");
    if (isEngine)
        planned.arguments = QStringList{QStringLiteral("--step-us"), QStringLiteral("500")};
    return planned;
}

DeploymentPlan planFor(double requestsPerSecond, double burst)
{
    DeploymentPlan plan;
    plan.binaryFolder = QStringLiteral(LACEWINGMUX_BINARY_DIR "/bin");
    plan.logsParent = QStringLiteral(LACEWINGMUX_BINARY_DIR "/failure-logs");
    plan.configuration = configuration(requestsPerSecond, burst);
    for (const QString &zone : {Scenario::firstZone(), Scenario::secondZone()}) {
        for (const QString &vm : Scenario::vmsOf(zone))
            plan.vms.push_back({vm, zone, false});
        for (const QString &engine : Scenario::engines()) {
            if (engine.endsWith(zone))
                plan.backends.push_back(backend(engine, zone, true));
        }
        plan.backends.push_back(backend(QStringLiteral("service-") + zone, zone, false));
    }
    return plan;
}

} // namespace

Scenario::Scenario()
    : Scenario(unlimited, unlimited)
{ }

Scenario::Scenario(double requestsPerSecond, double burst)
    : application(this->argumentCount, nullptr)
    , system(std::make_unique<LocalDeployment>(planFor(requestsPerSecond, burst)))
{
    // A failed test ends without destructors, so that the folder stays.
    lacewingmux::LogEvent(lacewingmux::LogSeverity::Info, "logsUntilTestPasses")
            .field("folder", this->system->folder());
    this->system->start();
    this->teamKey = this->system->issueKey(Scenario::team());
    this->waitUntilKeyIsKnown();
}

Scenario::~Scenario() = default;

QString Scenario::team()
{
    return QStringLiteral("field");
}

QStringList Scenario::vms()
{
    return vmsOf(firstZone()) + vmsOf(secondZone());
}

QStringList Scenario::vmsOf(const QString &zone)
{
    return {zone + QStringLiteral("-1"), zone + QStringLiteral("-2")};
}

QString Scenario::firstZone()
{
    return QStringLiteral("north");
}

QString Scenario::secondZone()
{
    return QStringLiteral("south");
}

QStringList Scenario::services()
{
    return {QStringLiteral("service-") + firstZone(), QStringLiteral("service-") + secondZone()};
}

QStringList Scenario::engines()
{
    return {QStringLiteral("engine-1-") + firstZone(), QStringLiteral("engine-2-") + firstZone(),
            QStringLiteral("engine-1-") + secondZone(), QStringLiteral("engine-2-") + secondZone()};
}

QJsonObject Scenario::configurationWithRoute(const QString &route)
{
    QJsonObject document = configuration(unlimited, unlimited);
    QJsonArray routes = document.value(QStringLiteral("routes")).toArray();
    routes.append(QJsonObject{{QStringLiteral("name"), route},
                              {QStringLiteral("kind"), QStringLiteral("service")}});
    document.insert(QStringLiteral("routes"), routes);
    return document;
}

QString Scenario::openProgram(TestCaller &caller, const QString &vm)
{
    CallerRequestSpec spec;
    spec.front = this->system->daemon(vm).callers();
    spec.path = QStringLiteral("/v1/programs");
    spec.body = "{}";
    QString program;
    const bool opened = waitUntil(
            [&] {
                const CallerAttempt attempt = caller.sendAndWait(spec);
                program = QJsonDocument::fromJson(attempt.body)
                                  .object()
                                  .value(QStringLiteral("program"))
                                  .toString();
                return attempt.outcome == AttemptOutcome::Answered;
            },
            patience);
    cr_assert(opened, "no program could be opened at %s", vm.toUtf8().constData());
    return program;
}

void Scenario::waitUntilKeyIsKnown()
{
    TestCaller caller(Scenario::team(), this->teamKey);
    for (const QString &vm : vms()) {
        CallerRequestSpec spec;
        spec.front = this->system->daemon(vm).callers();
        spec.method = "GET";
        spec.path = QStringLiteral("/v1/programs/none/history");
        const bool known = waitUntil(
                [&] {
                    return caller.sendAndWait(spec).errorKind == QLatin1String("unknownProgram");
                },
                patience);
        cr_assert(known, "%s does not know the key", vm.toUtf8().constData());
    }
}

std::vector<BackendRun> Scenario::serviceRuns()
{
    std::vector<BackendRun> runs;
    for (const QString &service : services()) {
        QUrl url = this->system->backendUrl(service);
        url.setPath(QStringLiteral("/v1/standin/runs"));
        for (const QJsonValue value : getJson(url).value(QStringLiteral("runs")).toArray()) {
            const QJsonObject run = value.toObject();
            const std::chrono::milliseconds started(
                    run.value(QStringLiteral("startedMs")).toInteger());
            runs.push_back({service, run.value(QStringLiteral("requestId")).toString(),
                            QJsonDocument(run).toJson(), started, started});
        }
    }
    return runs;
}

qint64 Scenario::engineRuns(const QString &engine)
{
    qint64 total = 0;
    for (const QJsonValue count :
         this->engineState(engine).value(QStringLiteral("runs")).toObject())
        total += count.toInteger();
    return total;
}

bool Scenario::engineSaw(const QByteArray &text)
{
    const QStringList all = engines();
    return std::any_of(all.begin(), all.end(), [this, &text](const QString &engine) {
        return this->engineState(engine, text).value(QStringLiteral("seen")).toBool();
    });
}

qint64 Scenario::tokensHeldFor(const QString &program)
{
    qint64 tokens = 0;
    for (const QString &engine : engines())
        tokens += this->engineState(engine)
                          .value(QStringLiteral("cachedTokensByProgram"))
                          .toObject()
                          .value(program)
                          .toInteger();
    return tokens;
}

QJsonObject Scenario::engineState(const QString &engine, const QByteArray &containedText)
{
    if (!this->system->backend(engine).isRunning())
        return {};
    QUrl url = this->system->backendUrl(engine);
    url.setPath(QStringLiteral("/v1/state"));
    if (!containedText.isEmpty()) {
        QUrlQuery query;
        query.addQueryItem(QStringLiteral("contains"), QString::fromLatin1(containedText));
        url.setQuery(query);
    }
    return getJson(url);
}

void assertNone(const std::vector<Violation> &violations)
{
    QString text;
    for (const Violation &violation : violations)
        text += violation.rule + QStringLiteral(": ") + violation.detail + u'\n';
    cr_assert(violations.empty(), "%s", text.toUtf8().constData());
}
