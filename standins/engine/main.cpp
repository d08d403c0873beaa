#include "engine/library/EngineStandin.h"

#include <QCoreApplication>

#include <cxxopts.hpp>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using lacewingmux::standin::EngineSettings;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lacewingmux-standin-engine", "A model engine on loopback for tests.");
    auto add = options.add_options();
    add("port", "port to listen on, 0 for any",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("step-us", "time of a step with one sequence, in microseconds",
        cxxopts::value<int>()->default_value("2000"));
    add("max-sequences", "sequences that run at once",
        cxxopts::value<std::size_t>()->default_value("16"));
    add("cache-tokens", "capacity of the prefix cache, in tokens",
        cxxopts::value<std::int64_t>()->default_value("65536"));
    add("output-tokens", "most output tokens of one request",
        cxxopts::value<std::int64_t>()->default_value("16"));
    add("load-lag-ms", "age of the load report, in milliseconds",
        cxxopts::value<int>()->default_value("200"));
    add("event-lag-ms", "age at which cache events appear, in milliseconds",
        cxxopts::value<int>()->default_value("200"));
    add("event-gap", "every n-th cache event is lost, 0 for none",
        cxxopts::value<int>()->default_value("0"));
    add("ignore-fencing", "carries out orders with an old fencing number too");
    add("help", "show this text");
    return options;
}

EngineSettings settingsFrom(const cxxopts::ParseResult &arguments)
{
    EngineSettings settings;
    settings.stepTime = std::chrono::microseconds(arguments["step-us"].as<int>());
    settings.maxSequences = arguments["max-sequences"].as<std::size_t>();
    settings.cacheTokens = arguments["cache-tokens"].as<std::int64_t>();
    settings.defaultOutputTokens = arguments["output-tokens"].as<std::int64_t>();
    settings.loadLag = std::chrono::milliseconds(arguments["load-lag-ms"].as<int>());
    settings.cacheEventLag = std::chrono::milliseconds(arguments["event-lag-ms"].as<int>());
    settings.cacheEventGap = arguments["event-gap"].as<int>();
    settings.checksFencing = arguments.count("ignore-fencing") == 0;
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

    QCoreApplication application(argc, argv);
    lacewingmux::standin::EngineStandin engine(settingsFrom(arguments),
                                               [] { std::_Exit(EXIT_FAILURE); });
    const std::uint16_t port = engine.start(arguments["port"].as<std::uint16_t>());
    if (port == 0) {
        std::cerr << "can't listen on the port\n";
        return EXIT_FAILURE;
    }
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
