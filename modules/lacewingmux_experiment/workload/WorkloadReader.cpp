#include "lacewingmux_experiment/workload/WorkloadReader.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux::experiment {

namespace {

[[noreturn]] void refuse(const QString &text)
{
    throw LacewingmuxError(ErrorKind::ConfigurationInvalid, text);
}

double numberIn(const QJsonObject &object, const char *field)
{
    const QJsonValue value = object.value(QLatin1String(field));
    if (!value.isDouble())
        refuse(QStringLiteral("%1 must be a number").arg(QLatin1String(field)));
    return value.toDouble();
}

QString textIn(const QJsonObject &object, const char *field)
{
    const QJsonValue value = object.value(QLatin1String(field));
    if (!value.isString())
        refuse(QStringLiteral("%1 must be a string").arg(QLatin1String(field)));
    return value.toString();
}

std::int64_t integerIn(const QJsonObject &object, const char *field)
{
    return static_cast<std::int64_t>(numberIn(object, field));
}

IntegerRange rangeIn(const QJsonObject &object, const char *field)
{
    const QJsonArray bounds = object.value(QLatin1String(field)).toArray();
    if (bounds.size() != 2 || bounds.at(0).toDouble() > bounds.at(1).toDouble())
        refuse(QStringLiteral("%1 must be [minimum, maximum]").arg(QLatin1String(field)));
    return {bounds.at(0).toInteger(), bounds.at(1).toInteger()};
}

template <typename Element>
std::vector<Element> listIn(const QJsonObject &object, const char *field,
                            Element (*read)(const QJsonObject &))
{
    std::vector<Element> elements;
    for (const QJsonValue value : object.value(QLatin1String(field)).toArray())
        elements.push_back(read(value.toObject()));
    return elements;
}

ZoneSpec readZone(const QJsonObject &object)
{
    return {textIn(object, "name"), static_cast<int>(integerIn(object, "vms"))};
}

PoolSpec readPool(const QJsonObject &object)
{
    PoolSpec pool;
    pool.name = textIn(object, "name");
    pool.replicas = static_cast<int>(integerIn(object, "replicas"));
    pool.capacity = static_cast<int>(integerIn(object, "capacity"));
    pool.prefixMemoryTokens = integerIn(object, "prefixMemoryTokens");
    pool.stepBase = std::chrono::microseconds(integerIn(object, "stepBaseMicroseconds"));
    pool.stepPerSequence =
            std::chrono::microseconds(integerIn(object, "stepPerSequenceMicroseconds"));
    pool.prefillPerToken =
            std::chrono::microseconds(integerIn(object, "prefillPerTokenMicroseconds"));
    return pool;
}

TeamSpec readTeam(const QJsonObject &object)
{
    return {textIn(object, "name"), numberIn(object, "weight"), numberIn(object, "share")};
}

ProgramClassSpec readClass(const QJsonObject &object)
{
    ProgramClassSpec spec;
    spec.name = textIn(object, "name");
    spec.pool = textIn(object, "pool");
    spec.part = numberIn(object, "part");
    spec.turns = rangeIn(object, "turns");
    spec.firstPromptTokens = rangeIn(object, "firstPromptTokens");
    spec.turnTokens = rangeIn(object, "turnTokens");
    spec.outputTokens = rangeIn(object, "outputTokens");
    spec.meanPause = std::chrono::milliseconds(integerIn(object, "meanPauseMilliseconds"));
    if (!object.contains(QLatin1String("helpers")))
        return spec;
    const QJsonObject helpers = object.value(QLatin1String("helpers")).toObject();
    spec.helperProbability = numberIn(helpers, "probability");
    spec.helperCount = static_cast<int>(integerIn(helpers, "count"));
    spec.helperTurns = rangeIn(helpers, "turns");
    return spec;
}

FaultKind readFaultKind(const QString &name)
{
    if (name == QLatin1String("replicaCrash"))
        return FaultKind::ReplicaCrash;
    if (name == QLatin1String("replicaSlow"))
        return FaultKind::ReplicaSlow;
    if (name == QLatin1String("zoneCut"))
        return FaultKind::ZoneCut;
    if (name == QLatin1String("storeOutage"))
        return FaultKind::StoreOutage;
    refuse(QStringLiteral("unknown fault kind %1").arg(name));
}

FaultSpec readFault(const QJsonObject &object)
{
    FaultSpec fault;
    fault.kind = readFaultKind(textIn(object, "kind"));
    fault.at = std::chrono::seconds(integerIn(object, "atSeconds"));
    fault.duration = std::chrono::seconds(integerIn(object, "durationSeconds"));
    fault.target = object.value(QLatin1String("target")).toString();
    fault.factor = object.value(QLatin1String("factor")).toDouble(1);
    return fault;
}

Workload readWorkload(const QJsonObject &object)
{
    Workload workload;
    workload.scenario = textIn(object, "scenario");
    workload.name = textIn(object, "name");
    workload.zones = listIn(object, "zones", readZone);
    workload.pools = listIn(object, "pools", readPool);
    workload.teams = listIn(object, "teams", readTeam);
    workload.classes = listIn(object, "classes", readClass);
    workload.faults = listIn(object, "faults", readFault);
    workload.load = numberIn(object, "load");
    workload.duration = std::chrono::seconds(integerIn(object, "durationSeconds"));
    workload.queueTimeout = std::chrono::seconds(integerIn(object, "queueTimeoutSeconds"));
    workload.reportInterval =
            std::chrono::milliseconds(integerIn(object, "reportIntervalMilliseconds"));
    workload.reportLag = std::chrono::milliseconds(integerIn(object, "reportLagMilliseconds"));
    workload.surgeTeam = textIn(object, "surgeTeam");
    workload.surgeFactor = numberIn(object, "surgeFactor");
    workload.poisonedPrograms = static_cast<int>(integerIn(object, "poisonedPrograms"));
    if (workload.zones.empty() || workload.pools.empty() || workload.teams.empty()
        || workload.classes.empty())
        refuse(QStringLiteral("zones, pools, teams and classes must not be empty"));
    return workload;
}

} // namespace

std::vector<Workload> readScenarios(const QByteArray &json)
{
    QJsonParseError error;
    const QJsonObject base = QJsonDocument::fromJson(json, &error).object();
    if (error.error != QJsonParseError::NoError)
        refuse(error.errorString());
    std::vector<Workload> scenarios;
    for (const QJsonValue value : base.value(QLatin1String("scenarios")).toArray()) {
        const QJsonObject changes = value.toObject();
        QJsonObject whole = base;
        for (auto change = changes.begin(); change != changes.end(); ++change)
            if (change.key() != QLatin1String("name"))
                whole.insert(change.key(), change.value());
        whole.insert(QLatin1String("scenario"), textIn(changes, "name"));
        scenarios.push_back(readWorkload(whole));
    }
    if (scenarios.empty())
        refuse(QStringLiteral("scenarios must not be empty"));
    return scenarios;
}

} // namespace lacewingmux::experiment
