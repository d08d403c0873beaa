#include "SoakRun.h"

#include <QCoreApplication>
#include <QTemporaryDir>

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

/* Runs the roles of the operators' platform as processes, with callers and with replicas that fall
   silent, leave and change, and checks what callers and replicas saw. */

namespace {

using lacewingmux::soak::SoakRun;
using lacewingmux::soak::SoakSettings;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("test_platform_soak",
                             "Runs the platform's roles as processes while replicas are silent.");
    auto add = options.add_options();
    add("seed", "of the plan", cxxopts::value<std::uint32_t>()->default_value("1"));
    add("seconds", "of calls", cxxopts::value<int>()->default_value("60"));
    add("processes", "records VMs, entry VMs and replicas",
        cxxopts::value<int>()->default_value("15"));
    add("streams", "callers of streams", cxxopts::value<int>()->default_value("50"));
    add("stutter", "replicas also spoil and repeat answers");
    add("cut-links", "links between entry VMs and replicas are also cut");
    add("binaries", "folder of lacewingmuxd and the stand-ins",
        cxxopts::value<std::string>()->default_value(LACEWINGMUX_BINARY_DIR "/bin"));
    add("daemon", "folder of another lacewingmuxd", cxxopts::value<std::string>());
    add("keep", "keep the logs, also when every promise is kept");
    add("help", "show this text");
    return options;
}

SoakSettings settingsFrom(const cxxopts::ParseResult &arguments, const QString &folder)
{
    SoakSettings settings;
    settings.seed = arguments["seed"].as<std::uint32_t>();
    settings.duration = std::chrono::seconds(arguments["seconds"].as<int>());
    settings.processCount = arguments["processes"].as<int>();
    settings.streamCallers = arguments["streams"].as<int>();
    settings.binaryFolder = QString::fromStdString(arguments["binaries"].as<std::string>());
    settings.daemonFolder = settings.binaryFolder;
    if (arguments.count("daemon") > 0)
        settings.daemonFolder = QString::fromStdString(arguments["daemon"].as<std::string>());
    settings.linksAreCut = arguments.count("cut-links") > 0;
    settings.replicasStutter = arguments.count("stutter") > 0;
    settings.folder = folder;
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
    QTemporaryDir directory;
    directory.setAutoRemove(false); // also when the run ends with an exception
    std::cout << "logs: " << directory.path().toStdString() << std::endl;
    const bool isKept = SoakRun(settingsFrom(arguments, directory.path())).perform().empty();
    if (isKept && arguments.count("keep") == 0)
        directory.remove();
    return isKept ? EXIT_SUCCESS : EXIT_FAILURE;
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
