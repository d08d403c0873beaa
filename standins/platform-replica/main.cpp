#include "lacewingmux_core/process/StopSignals.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "platform-replica/PlatformReplica.h"

#include <QCoreApplication>

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using lacewingmux::standin::PlatformReplica;
using lacewingmux::standin::PlatformReplicaSettings;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lacewingmux-standin-platform-replica",
                             "A replica of the operators' platform, on loopback.");
    auto add = options.add_options();
    add("id", "its id in the store", cxxopts::value<std::string>());
    add("log", "file for its runs", cxxopts::value<std::string>());
    add("backlog", "queue of new connections", cxxopts::value<int>()->default_value("128"));
    add("max-connections", "connections beyond are reset",
        cxxopts::value<int>()->default_value("360"));
    add("idle-ms", "time of an idle connection", cxxopts::value<int>()->default_value("10000"));
    add("close-at-deadline", "close in order at a request's deadline, in place of a reset");
    add("stutter-while", "file; answers are spoilt while it exists",
        cxxopts::value<std::string>()->default_value(""));
    add("stutter-percent", "share of spoilt answers", cxxopts::value<int>()->default_value("0"));
    add("stutter-seed", "of the faults", cxxopts::value<std::uint32_t>()->default_value("1"));
    add("help", "show this text");
    return options;
}

PlatformReplicaSettings settingsFrom(const cxxopts::ParseResult &arguments)
{
    PlatformReplicaSettings settings;
    settings.id = QByteArray::fromStdString(arguments["id"].as<std::string>());
    settings.logFile = QString::fromStdString(arguments["log"].as<std::string>());
    settings.backlog = arguments["backlog"].as<int>();
    settings.connectionLimit = arguments["max-connections"].as<int>();
    settings.idleTimeout = std::chrono::milliseconds(arguments["idle-ms"].as<int>());
    settings.closesAtDeadline = arguments.count("close-at-deadline") > 0;
    settings.stutterFile = QString::fromStdString(arguments["stutter-while"].as<std::string>());
    settings.stutterPercent = arguments["stutter-percent"].as<int>();
    settings.stutterSeed = arguments["stutter-seed"].as<std::uint32_t>();
    return settings;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = describeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    const QCoreApplication application(argc, argv);
    lacewingmux::QtTimerService timers;
    PlatformReplica replica(settingsFrom(arguments), timers);
    const std::uint16_t port = replica.start();
    if (port == 0) {
        std::cerr << "can't listen\n";
        return EXIT_FAILURE;
    }
    const lacewingmux::StopSignals signals([&replica] { replica.leave(); });
    std::cout << "{\"port\":" << port << "}" << std::endl;
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
