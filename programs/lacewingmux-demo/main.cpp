#include "DemoDeployment.h"
#include "DemoProgram.h"

#include <QCoreApplication>

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

int run(int argc, char **argv)
{
    cxxopts::Options options("lacewingmux-demo",
                             "Runs an agent program on a local deployment of two zones, four "
                             "daemons and stand-ins, and shows what happens.");
    auto add = options.add_options();
    add("kill", "kill this VM in the middle of the program; without a name, the owner's front",
        cxxopts::value<std::string>()->implicit_value("cordillera-1"));
    add("keep", "keep the temporary folder with settings and logs");
    add("help", "show this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    if (arguments.count("keep") > 0)
        qputenv("LACEWINGMUX_KEEP_LOGS", "1");

    QCoreApplication application(argc, argv);
    DemoDeployment deployment;
    deployment.start();
    DemoProgram program(deployment);
    if (arguments.count("kill") > 0)
        program.killDuringRun(QString::fromStdString(arguments["kill"].as<std::string>()));
    return program.run() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "lacewingmux-demo: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
