#include "DemoDeployment.h"

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonObject>

#include <iostream>

using namespace lacewingmux::standin;

namespace {

QJsonObject configuration()
{
    const QJsonObject plan{{QStringLiteral("team"), QStringLiteral("technicians")},
                           {QStringLiteral("plan"), QStringLiteral("standard")}};
    const QJsonObject allowance{{QStringLiteral("plan"), QStringLiteral("standard")},
                                {QStringLiteral("requestsPerSecond"), 50},
                                {QStringLiteral("burstRequests"), 100},
                                {QStringLiteral("programBudgetTokens"), 20000},
                                {QStringLiteral("programTurnLimit"), 40}};
    const QJsonObject assistant{{QStringLiteral("name"), QStringLiteral("fault-assistant")},
                                {QStringLiteral("kind"), QStringLiteral("engine")},
                                {QStringLiteral("maxOutputTokens"), 64}};
    const QJsonObject dispatch{{QStringLiteral("name"), QStringLiteral("dispatch")},
                               {QStringLiteral("kind"), QStringLiteral("service")},
                               {QStringLiteral("idempotent"), false}};
    const QJsonObject objective{{QStringLiteral("plan"), QStringLiteral("standard")},
                                {QStringLiteral("availability"), 0.999},
                                {QStringLiteral("latencyMs"), 2000},
                                {QStringLiteral("latencyShare"), 0.95}};
    return QJsonObject{{QStringLiteral("plans"), QJsonArray{plan}},
                       {QStringLiteral("objectives"), QJsonArray{objective}},
                       {QStringLiteral("allowances"), QJsonArray{allowance}},
                       {QStringLiteral("routes"), QJsonArray{assistant, dispatch}}};
}

PlannedBackend engine(const char *name, const char *zone)
{
    return {QString::fromLatin1(name),
            QString::fromLatin1(zone),
            QStringLiteral("fault-assistant"),
            true,
            {},
            true};
}

PlannedBackend bookingService(const char *name, const char *zone)
{
    return {QString::fromLatin1(name),
            QString::fromLatin1(zone),
            QStringLiteral("dispatch"),
            false,
            {},
            true};
}

DeploymentPlan demoPlan()
{
    DeploymentPlan plan;
    plan.binaryFolder = QCoreApplication::applicationDirPath();
    plan.vms = {{QStringLiteral("cordillera-1"), QStringLiteral("cordillera"), false},
                {QStringLiteral("cordillera-2"), QStringLiteral("cordillera"), false},
                {QStringLiteral("altiplano-1"), QStringLiteral("altiplano"), false},
                {QStringLiteral("altiplano-2"), QStringLiteral("altiplano"), false}};
    plan.backends = {engine("engine-c1", "cordillera"), engine("engine-c2", "cordillera"),
                     engine("engine-a1", "altiplano"), bookingService("booking-c", "cordillera"),
                     bookingService("booking-a", "altiplano")};
    plan.configuration = configuration();
    return plan;
}

} // namespace

DemoDeployment::DemoDeployment()
    : deployment(demoPlan())
{ }

void DemoDeployment::start()
{
    std::cout << "Starting the store, three engines, two booking services and four daemons …"
              << std::endl;
    this->deployment.start();
    this->teamKey = this->deployment.issueKey(QStringLiteral("technicians"));
    std::cout << "Ready. Settings and logs: " << this->deployment.folder().toStdString()
              << std::endl;
}

QStringList DemoDeployment::vms()
{
    return {QStringLiteral("cordillera-1"), QStringLiteral("cordillera-2"),
            QStringLiteral("altiplano-1"), QStringLiteral("altiplano-2")};
}

QStringList DemoDeployment::bookingServices()
{
    return {QStringLiteral("booking-c"), QStringLiteral("booking-a")};
}
