#include "DaemonExitCode.h"
#include "PlatformDaemon.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/process/StopSignals.h"
#include "lacewingmux_daemon/assembly/Daemon.h"
#include "lacewingmux_daemon/process/LogSetup.h"
#include "lacewingmux_daemon/settings/DaemonSettingsReader.h"

#include <QCoreApplication>
#include <QEvent>

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

/* The daemon of one VM. Its exit codes are those of lacewingmux::DaemonExitCode. */

namespace {

using namespace lacewingmux;

cxxopts::Options commandLineOptions()
{
    cxxopts::Options options("lacewingmuxd", "Schedules agent programs on one entry VM.");
    auto add = options.add_options();
    add("config", "settings file, JSON", cxxopts::value<std::string>());
    add("platform-role", "run on the operators' platform with the role front or records",
        cxxopts::value<std::string>());
    add("without", "features to switch off, separated by commas; with --platform-role only",
        cxxopts::value<std::string>()->default_value(""));
    add("check-config", "check the settings, print every error, and exit");
    add("describe-settings", "print the settings fields as a table, and exit");
    add("version", "print the version, and exit");
    add("help", "print this help, and exit");
    return options;
}

void printSettingsTable()
{
    std::cout << "| field | type | range | default | meaning |\n|---|---|---|---|---|\n";
    for (const SettingsField &field : DaemonSettingsReader::fields())
        std::cout << field.toTableRow().toStdString() << '\n';
}

/** Runs the daemon until a planned stop has completed. */
int runDaemon(const DaemonSettings &settings)
{
    const LogSetup logging("lacewingmuxd", settings.log);
    try {
        Daemon daemon(settings, [](bool complete) {
            QCoreApplication::exit(complete ? StoppedAsPlanned : Failed);
        });
        const StopSignals signals([&daemon] { daemon.beginStop(); });
        return QCoreApplication::exec();
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Error, "daemonFailed").field("reason", error.message());
        std::cerr << error.what() << '\n';
        return Failed;
    }
}

int runWithSettings(const cxxopts::ParseResult &arguments)
{
    const QString path = QString::fromStdString(arguments["config"].as<std::string>());
    SettingsFindings findings;
    const DaemonSettings settings = DaemonSettingsReader::readFile(path, findings);
    if (!findings.faults.empty()) {
        std::cerr << findings.faultText().toStdString() << '\n';
        return InvalidSettings;
    }
    if (arguments.count("check-config") > 0) {
        std::cout << "settings are valid: " << settings.vm.toStdString() << " in "
                  << settings.zone.toStdString() << '\n';
        return StoppedAsPlanned;
    }
    return runDaemon(settings);
}

int run(int argc, char **argv)
{
    cxxopts::Options options = commandLineOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return StoppedAsPlanned;
    }
    if (arguments.count("version") > 0) {
        std::cout << "lacewingmuxd " LACEWINGMUX_VERSION "\n";
        return StoppedAsPlanned;
    }
    if (arguments.count("describe-settings") > 0) {
        printSettingsTable();
        return StoppedAsPlanned;
    }
    if (arguments.count("platform-role") > 0)
        return runPlatformNode(arguments["platform-role"].as<std::string>(),
                               arguments["without"].as<std::string>());
    if (arguments.count("without") > 0) {
        std::cerr << "--without needs --platform-role\n";
        return WrongCommandLine;
    }
    if (arguments.count("config") == 0) {
        std::cerr << "--config is missing\n" << options.help();
        return WrongCommandLine;
    }
    return runWithSettings(arguments);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const QCoreApplication application(argc, argv);
        const int code = run(argc, argv);
        // Network managers that were deleted after the loop ended have threads that use the
        // application, and would crash the process while it exits.
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        return code;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
        return WrongCommandLine;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return Failed;
    }
}
