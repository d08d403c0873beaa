#include "lacewingmux_core/time/QtTimerService.h"
#include "store/StoreStandin.h"

#include <QCoreApplication>

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    cxxopts::Options options("lacewingmux-standin-store",
                             "A small stand-in of the platform's key-value service, for tests.");
    options.add_options()("port", "port of the store; 0 lets the system choose",
                          cxxopts::value<std::uint16_t>()->default_value("0"))(
            "control-port", "port of /v1/standin; 0 lets the system choose",
            cxxopts::value<std::uint16_t>()->default_value("0"))("help", "print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        lacewingmux::QtTimerService timers;
        lacewingmux::StoreStandin standin(timers);
        if (!standin.start(arguments["port"].as<std::uint16_t>(),
                           arguments["control-port"].as<std::uint16_t>())) {
            std::cerr << "cannot listen on the ports\n";
            return EXIT_FAILURE;
        }
        std::cout << "{\"port\":" << standin.port() << ",\"controlPort\":" << standin.controlPort()
                  << "}" << std::endl;
        return QCoreApplication::exec();
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
