#include <lacewingmux_core/settings/SettingsFindings.h>
#include <lacewingmux_daemon/settings/DaemonSettingsReader.h>

#include <QCoreApplication>
#include <QStringList>

#include <iostream>

/*
 * A program of its own around the library: checks the settings files that are named on its command
 * line and says which VM each is for.
 */
int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    bool allSound = true;
    for (const QString &path : QCoreApplication::arguments().mid(1)) {
        lacewingmux::SettingsFindings findings;
        const auto settings = lacewingmux::DaemonSettingsReader::readFile(path, findings);
        const QString verdict = findings.faults.empty()
                                        ? settings.vm + QStringLiteral(" in ") + settings.zone
                                        : findings.faultText();
        std::cout << path.toStdString() << ": " << verdict.toStdString() << '\n';
        allSound = allSound && findings.faults.empty();
    }
    return allSound ? 0 : 1;
}
