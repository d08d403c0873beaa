#include "lacewingmux_config/documents/ConfigurationDocument.h"

#include "lacewingmux_config/documents/ConfigurationConsistency.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/settings/SettingsReader.h"

#include <QJsonArray>

namespace lacewingmux {

namespace {

constexpr qsizetype nameLimit = 64; ///< characters
constexpr double dayInSeconds = 86'400;
constexpr double hourInMilliseconds = 3'600'000;
constexpr double largestRate = 1'000'000;
constexpr double smallestShare = 1e-6;
constexpr double largestShare = 0.999999;

const ListRule teamsRule{QStringLiteral("the plan of each team"), 0, 10'000};
const ListRule allowancesRule{QStringLiteral("what each plan may use"), 0, 1'000};
const ListRule routesRule{QStringLiteral("the destinations of calls"), 0, 1'000};
const ListRule objectivesRule{QStringLiteral("what each plan promises"), 0, 2'000};

TextRule nameRule(const char *meaning)
{
    const auto accepts = [](const QString &text) {
        if (text.isEmpty() || text.size() > nameLimit)
            return false;
        return std::all_of(text.begin(), text.end(), [](QChar letter) {
            return letter.unicode() < 128
                   && (letter.isLetterOrNumber() || QStringLiteral("-_.").contains(letter));
        });
    };
    return {QString::fromLatin1(meaning),
            QStringLiteral("1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"), accepts, std::nullopt};
}

NumberRule numberRule(const char *meaning, const char *unit, double minimum, double maximum,
                      std::optional<double> fallback = std::nullopt)
{
    return {QString::fromLatin1(meaning), QString::fromLatin1(unit), minimum, maximum, fallback};
}

TeamPlan readTeamPlan(SettingsReader &reader)
{
    return {reader.text("team", nameRule("the team")), reader.text("plan", nameRule("its plan"))};
}

void readLimits(SettingsReader &reader, Allowance &allowance)
{
    const Allowance standard;
    allowance.programTimeout =
            reader.seconds("programTimeoutSeconds",
                           numberRule("longest life of a program", "s", 1, 7 * dayInSeconds,
                                      static_cast<double>(standard.programTimeout.count())));
    allowance.programIdleTimeout = reader.seconds(
            "programIdleTimeoutSeconds",
            numberRule("longest pause between two calls of a program", "s", 1, dayInSeconds,
                       static_cast<double>(standard.programIdleTimeout.count())));
    allowance.queueTimeout = reader.milliseconds(
            "queueTimeoutMs", numberRule("longest wait for a replica", "ms", 1, hourInMilliseconds,
                                         static_cast<double>(standard.queueTimeout.count())));
    allowance.callTimeout = reader.milliseconds(
            "callTimeoutMs", numberRule("longest run of one call", "ms", 1, hourInMilliseconds,
                                        static_cast<double>(standard.callTimeout.count())));
    allowance.serveWithoutStore = reader.seconds(
            "serveWithoutStoreSeconds",
            numberRule("how long keys are accepted by a VM that hears of no withdrawals; 0 means "
                       "for ever",
                       "s", 0, 30 * dayInSeconds, 0));
}

Allowance readAllowance(SettingsReader &reader)
{
    Allowance allowance;
    allowance.plan = reader.text("plan", nameRule("the plan"));
    allowance.requestsPerSecond =
            reader.number("requestsPerSecond", numberRule("rate of a team over the whole fleet",
                                                          "requests/s", 0, largestRate));
    allowance.burstRequests =
            reader.number("burstRequests", numberRule("burst of a team over the whole fleet",
                                                      "requests", 1, largestRate));
    allowance.weight = reader.number(
            "weight",
            numberRule("share of contended replicas, relative to other plans", "", 0.001, 1000, 1));
    allowance.programBudgetTokens =
            reader.integer("programBudgetTokens",
                           numberRule("budget of a program and its sub-agents, input and output",
                                      "tokens", 0, 1e12));
    allowance.programTurnLimit = static_cast<std::int32_t>(reader.integer(
            "programTurnLimit", numberRule("calls of one program", "calls", 1, 1'000'000)));
    readLimits(reader, allowance);
    return allowance;
}

Route readRoute(SettingsReader &reader)
{
    const TextRule kindRule{QStringLiteral("what stands behind the route"),
                            QStringLiteral("\"engine\" or \"service\""),
                            [](const QString &text) {
                                return text == QLatin1String("engine")
                                       || text == QLatin1String("service");
                            },
                            std::nullopt};
    Route route;
    route.name = reader.text("name", nameRule("the route"));
    route.kind = reader.text("kind", kindRule) == QLatin1String("service") ? RouteKind::Service
                                                                           : RouteKind::ModelEngine;
    route.open =
            reader.flag("open", QStringLiteral("whether it serves callers without a key"), false);
    route.idempotent =
            reader.flag("idempotent", QStringLiteral("whether its calls may be repeated"), true);
    route.teams = reader.texts(
            "teams", {QStringLiteral("teams that may use it; empty means every team"), 0, 10'000},
            nameRule("a team"));
    route.maxOutputTokens =
            reader.integer("maxOutputTokens",
                           numberRule("output reserved from the budget for one call", "tokens", 1,
                                      1'000'000, static_cast<double>(Route().maxOutputTokens)));
    return route;
}

ServiceLevelObjective readObjective(SettingsReader &reader)
{
    TextRule routeRule = nameRule("the route; absent for all routes");
    routeRule.fallback = QString();
    ServiceLevelObjective objective;
    objective.plan = reader.text("plan", nameRule("the plan"));
    objective.route = reader.text("route", routeRule);
    objective.availability = reader.number(
            "availability", numberRule("share of requests that must succeed", "", smallestShare,
                                       largestShare, objective.availability));
    objective.latency = reader.milliseconds(
            "latencyMs", numberRule("bound of a fast request", "ms", 1, hourInMilliseconds,
                                    static_cast<double>(objective.latency.count())));
    objective.latencyShare = reader.number(
            "latencyShare", numberRule("share of requests that must be fast", "", smallestShare,
                                       largestShare, objective.latencyShare));
    return objective;
}

void readAll(SettingsReader &reader, Configuration &configuration)
{
    reader.objects("plans", teamsRule, [&configuration](SettingsReader &entry) {
        configuration.plans.push_back(readTeamPlan(entry));
    });
    reader.objects("allowances", allowancesRule, [&configuration](SettingsReader &entry) {
        configuration.allowances.push_back(readAllowance(entry));
    });
    reader.objects("routes", routesRule, [&configuration](SettingsReader &entry) {
        configuration.routes.push_back(readRoute(entry));
    });
    reader.object("site", [&configuration](SettingsReader &site) {
        configuration.sitePowerCapWatts = site.number(
                "powerCapWatts",
                numberRule("power that the whole site may draw; 0 means no cap", "W", 0, 1e9, 0));
    });
    reader.objects("objectives", objectivesRule, [&configuration](SettingsReader &entry) {
        configuration.objectives.push_back(readObjective(entry));
    });
    checkConsistency(configuration, reader);
}

QJsonObject allowanceJson(const Allowance &allowance)
{
    return {{QStringLiteral("plan"), allowance.plan},
            {QStringLiteral("requestsPerSecond"), allowance.requestsPerSecond},
            {QStringLiteral("burstRequests"), allowance.burstRequests},
            {QStringLiteral("weight"), allowance.weight},
            {QStringLiteral("programBudgetTokens"),
             static_cast<qint64>(allowance.programBudgetTokens)},
            {QStringLiteral("programTurnLimit"), allowance.programTurnLimit},
            {QStringLiteral("programTimeoutSeconds"),
             static_cast<qint64>(allowance.programTimeout.count())},
            {QStringLiteral("programIdleTimeoutSeconds"),
             static_cast<qint64>(allowance.programIdleTimeout.count())},
            {QStringLiteral("queueTimeoutMs"), static_cast<qint64>(allowance.queueTimeout.count())},
            {QStringLiteral("callTimeoutMs"), static_cast<qint64>(allowance.callTimeout.count())},
            {QStringLiteral("serveWithoutStoreSeconds"),
             static_cast<qint64>(allowance.serveWithoutStore.count())}};
}

QJsonObject routeJson(const Route &route)
{
    QJsonArray teams;
    for (const QString &team : route.teams)
        teams.append(team);
    return {{QStringLiteral("name"), route.name},
            {QStringLiteral("kind"), route.kind == RouteKind::Service ? QStringLiteral("service")
                                                                      : QStringLiteral("engine")},
            {QStringLiteral("open"), route.open},
            {QStringLiteral("idempotent"), route.idempotent},
            {QStringLiteral("teams"), teams},
            {QStringLiteral("maxOutputTokens"), static_cast<qint64>(route.maxOutputTokens)}};
}

QJsonObject objectiveJson(const ServiceLevelObjective &objective)
{
    QJsonObject object{
            {QStringLiteral("plan"), objective.plan},
            {QStringLiteral("availability"), objective.availability},
            {QStringLiteral("latencyMs"), static_cast<qint64>(objective.latency.count())},
            {QStringLiteral("latencyShare"), objective.latencyShare}};
    if (!objective.route.isEmpty())
        object.insert(QStringLiteral("route"), objective.route);
    return object;
}

} // namespace

Configuration ConfigurationDocument::read(const QByteArray &json, SettingsFindings &findings)
{
    Configuration configuration;
    SettingsReader::readDocument(json, findings, [&configuration](SettingsReader &reader) {
        readAll(reader, configuration);
    });
    return configuration;
}

Configuration ConfigurationDocument::read(const QJsonObject &object, SettingsFindings &findings)
{
    Configuration configuration;
    SettingsReader::readObject(object, findings, [&configuration](SettingsReader &reader) {
        readAll(reader, configuration);
    });
    return configuration;
}

Configuration ConfigurationDocument::parse(const QJsonObject &object)
{
    SettingsFindings findings;
    Configuration configuration = read(object, findings);
    if (!findings.faults.empty())
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid, findings.faultText());
    return configuration;
}

QJsonObject ConfigurationDocument::toJson(const Configuration &configuration)
{
    QJsonArray plans;
    for (const TeamPlan &entry : configuration.plans) {
        plans.append(QJsonObject{{QStringLiteral("team"), entry.team},
                                 {QStringLiteral("plan"), entry.plan}});
    }
    QJsonArray allowances;
    for (const Allowance &allowance : configuration.allowances)
        allowances.append(allowanceJson(allowance));
    QJsonArray routes;
    for (const Route &route : configuration.routes)
        routes.append(routeJson(route));
    QJsonArray objectives;
    for (const ServiceLevelObjective &objective : configuration.objectives)
        objectives.append(objectiveJson(objective));
    const QJsonObject site{{QStringLiteral("powerCapWatts"), configuration.sitePowerCapWatts}};
    return {{QStringLiteral("plans"), plans},
            {QStringLiteral("allowances"), allowances},
            {QStringLiteral("routes"), routes},
            {QStringLiteral("site"), site},
            {QStringLiteral("objectives"), objectives}};
}

} // namespace lacewingmux
