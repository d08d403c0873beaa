#pragma once

#include <QJsonObject>
#include <QString>
#include <QStringList>

#include <chrono>
#include <vector>

namespace lacewingmux::standin {

/** One entry VM of a local deployment. */
struct PlannedVm
{
    QString vm;
    QString zone;
    bool hasDataFolder = false;
};

/** One backend server of a local deployment: a model engine or a plain service. */
struct PlannedBackend
{
    QString name;
    QString zone;
    QString route;
    bool isEngine = true;
    QStringList arguments; ///< of the stand-in's command line
    bool checksFencing = true;
};

/** What a local deployment consists of. */
struct DeploymentPlan
{
    QString binaryFolder; ///< where the daemons' and stand-ins' programs are
    QString logsParent;   ///< where the folder of logs is made; the system's default if empty
    std::vector<PlannedVm> vms;
    std::vector<PlannedBackend> backends;
    QJsonObject configuration; ///< the operators' document
    std::chrono::milliseconds heartbeatInterval{100};
    std::chrono::milliseconds failureTimeout{1000};
};

} // namespace lacewingmux::standin
