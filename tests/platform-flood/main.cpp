#include "FloodRun.h"

#include <QCoreApplication>
#include <QTemporaryDir>

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

/* Runs the roles of the operators' platform as processes while replicas send bytes without end that
   are no answer, and checks the memory of an entry VM and the calls to its other replicas. */

namespace {

using lacewingmux::flood::FloodKind;
using lacewingmux::flood::FloodRun;
using lacewingmux::flood::FloodSettings;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("test_platform_flood",
                             "Runs the platform's roles while replicas answer without end.");
    auto add = options.add_options();
    add("kind",
        "what the replicas send, separated by commas; \"endless\" or \"sound\" for all such",
        cxxopts::value<std::vector<std::string>>()->default_value("endless"));
    add("faulty", "replicas that send it", cxxopts::value<int>()->default_value("12"));
    add("requests", "of each caller", cxxopts::value<int>()->default_value("6"));
    add("seed", "of ids and of the kind garbage",
        cxxopts::value<std::uint32_t>()->default_value("1"));
    add("binaries", "folder of lacewingmuxd",
        cxxopts::value<std::string>()->default_value(LACEWINGMUX_BINARY_DIR "/bin"));
    add("keep", "keep the logs, also when all limits are kept");
    add("list", "list the kinds");
    add("help", "show this text");
    return options;
}

std::vector<FloodKind> chosenKinds(const cxxopts::ParseResult &arguments)
{
    const auto names = arguments["kind"].as<std::vector<std::string>>();
    const auto isNamed = [&names](const std::string &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    std::vector<FloodKind> kinds = FloodKind::all(arguments["seed"].as<std::uint32_t>());
    std::erase_if(kinds, [&isNamed](const FloodKind &kind) {
        return !isNamed(kind.name.toStdString()) && !isNamed(kind.isSound() ? "sound" : "endless");
    });
    if (kinds.empty())
        throw std::invalid_argument("no kind has this name");
    return kinds;
}

bool performRun(const cxxopts::ParseResult &arguments, const FloodKind &kind)
{
    QTemporaryDir directory;
    directory.setAutoRemove(false); // also when the run ends with an exception
    FloodSettings settings;
    settings.seed = arguments["seed"].as<std::uint32_t>();
    settings.faultyReplicas = arguments["faulty"].as<int>();
    settings.requestsPerCaller = arguments["requests"].as<int>();
    settings.binaryFolder = QString::fromStdString(arguments["binaries"].as<std::string>());
    settings.folder = directory.path();
    const bool isKept = FloodRun(settings, kind).perform();
    if (isKept && arguments.count("keep") == 0)
        directory.remove();
    else
        std::cout << "logs: " << directory.path().toStdString() << std::endl;
    return isKept;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = describeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    if (arguments.count("list") > 0) {
        for (const FloodKind &kind : FloodKind::all(1))
            std::cout << kind.name.constData() << '\n';
        return EXIT_SUCCESS;
    }
    const QCoreApplication application(argc, argv);
    bool isKept = true;
    for (const FloodKind &kind : chosenKinds(arguments))
        isKept = performRun(arguments, kind) && isKept;
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
