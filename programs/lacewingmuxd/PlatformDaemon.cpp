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

int runFront(const PlatformSettings &settings)
{
    FrontNode node(nodeSettingsFor(settings), platformAdapterFor(settings),
                   [] { QCoreApplication::exit(StoppedAsPlanned); });
    const StopSignals signals([&node] { node.beginStop(); }, logSettingsReload);
    return QCoreApplication::exec();
}

int runRecords(const PlatformSettings &settings)
{
    RecordsNode node(nodeSettingsFor(settings), platformAdapterFor(settings),
                     [] { QCoreApplication::exit(StoppedAsPlanned); });
    const StopSignals signals([&node] { node.beginStop(); }, logSettingsReload);
    return QCoreApplication::exec();
}

} // namespace

int runPlatformNode(const std::string &role)
{
    if (role != "front" && role != "records") {
        std::cerr << "--platform-role must be front or records, not \"" << role << "\"\n";
        return WrongCommandLine;
    }
    SettingsFindings findings;
    const PlatformSettings settings = PlatformSettings::readFromEnvironment(findings);
    if (!findings.faults.empty()) {
        std::cerr << findings.faultText().toStdString() << '\n';
        return InvalidSettings;
    }
    const StandardOutputLog log(logLinesPerSecond);
    LogEvent(LogSeverity::Info, "start")
            .field("vm", settings.vm)
            .field("role", QString::fromStdString(role))
            .field("firstStart", settings.firstStart);
    try {
        const int code = role == "front" ? runFront(settings) : runRecords(settings);
        LogEvent(LogSeverity::Info, "stop").field("code", code);
        return code;
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Error, "nodeFailed").field("reason", error.message());
        return Failed;
    }
}

} // namespace lacewingmux
