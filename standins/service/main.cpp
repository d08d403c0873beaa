#include "service/library/ServiceStandin.h"

#include <QCoreApplication>

#include <cxxopts.hpp>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

int run(int argc, char **argv)
{
    cxxopts::Options options("lacewingmux-standin-service",
                             "A plain service on loopback that counts every run.");
    options.add_options()("port", "port to listen on, 0 for any",
                          cxxopts::value<std::uint16_t>()->default_value("0"))("help",
                                                                               "show this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }

    QCoreApplication application(argc, argv);
    lacewingmux::standin::ServiceStandin service([] { std::_Exit(EXIT_FAILURE); });
    const std::uint16_t port = service.start(arguments["port"].as<std::uint16_t>());
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
