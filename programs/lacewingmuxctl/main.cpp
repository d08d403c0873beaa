#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/commands/CommandOptions.h"
#include "lacewingmux_operator/commands/OperatorCommand.h"

#include <QCoreApplication>

#include <iostream>

/*
 * The operators' command. Its exit codes are those of lacewingmux::ExitCode.
 */

int main(int argc, char **argv)
{
    using namespace lacewingmux;

    const QCoreApplication application(argc, argv);
    try {
        OperatorCommand command(CommandOptions::parse(argc, argv), std::cout, std::cerr);
        return static_cast<int>(command.run());
    } catch (const LacewingmuxError &error) {
        std::cerr << "lacewingmuxctl: " << error.message().toStdString() << '\n';
        return static_cast<int>(exitCodeFor(error.kind()));
    }
}
