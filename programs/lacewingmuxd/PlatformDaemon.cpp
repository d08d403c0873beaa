#include "PlatformDaemon.h"

#include "DaemonExitCode.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StandardOutputLog.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/process/StopSignals.h"
#include "lacewingmux_core/settings/SettingsFindings.h"
#include "lacewingmux_node/front/FrontNode.h"
#include "lacewingmux_node/records/RecordsNode.h"
#include "platform/PlatformNode.h"

#include <QCoreApplication>

#include <iostream>

namespace lacewingmux {

namespace {

constexpr int logLinesPerSecond = 200; // covers a tenth of a front's requests at full load

void logSettingsReload()
{
    SettingsFindings findings;
    const PlatformSettings settings = PlatformSettings::readFromEnvironment(findings);
    LogEvent(findings.faults.empty() ? LogSeverity::Info : LogSeverity::Error, "settingsReloaded")
            .field("vm", settings.vm)
            .field("faults", findings.faultText());
}

int runFront(const PlatformSettings &settings, const FeatureSet &features)
{
    FrontNode node(nodeSettingsFor(settings, features), platformAdapterFor(settings),
                   [] { QCoreApplication::exit(StoppedAsPlanned); });
    const StopSignals signals([&node] { node.beginStop(); }, logSettingsReload);
    return QCoreApplication::exec();
}

int runRecords(const PlatformSettings &settings, const FeatureSet &features)
{
    RecordsNode node(nodeSettingsFor(settings, features), platformAdapterFor(settings),
                     [] { QCoreApplication::exit(StoppedAsPlanned); });
    const StopSignals signals([&node] { node.beginStop(); }, logSettingsReload);
    return QCoreApplication::exec();
}

} // namespace

int runPlatformNode(const std::string &role, const std::string &disabledFeatures)
{
    if (role != "front" && role != "records") {
        std::cerr << "--platform-role must be front or records, not \"" << role << "\"\n";
        return WrongCommandLine;
    }
    SettingsFindings findings;
    const PlatformSettings settings = PlatformSettings::readFromEnvironment(findings);
    const FeatureSet features =
            FeatureSet::without(QString::fromStdString(disabledFeatures), findings);
    if (!findings.faults.empty()) {
        std::cerr << findings.faultText().toStdString() << '\n';
        return InvalidSettings;
    }
    const StandardOutputLog log(logLinesPerSecond);
    LogEvent(LogSeverity::Info, "start")
            .field("vm", settings.vm)
            .field("role", QString::fromStdString(role))
            .field("firstStart", settings.firstStart)
            .field("without", features.disabledNames().join(u','));
    try {
        const int code =
                role == "front" ? runFront(settings, features) : runRecords(settings, features);
        LogEvent(LogSeverity::Info, "stop").field("code", code);
        return code;
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Error, "nodeFailed").field("reason", error.message());
        return Failed;
    }
}

} // namespace lacewingmux
