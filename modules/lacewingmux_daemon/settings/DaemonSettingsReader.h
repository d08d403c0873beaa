#pragma once

#include "lacewingmux_core/settings/SettingsFindings.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"

#include <QByteArray>

namespace lacewingmux {

/**
    Reads the settings document of a daemon and checks it whole. The settings may be used only
    when the findings hold no fault. Also lists every field, for docs/SETTINGS.md.
*/
class DaemonSettingsReader
{
public:
    /** Reads the document; every fault goes into the findings. */
    [[nodiscard]] static DaemonSettings read(const QByteArray &document,
                                             SettingsFindings &findings);

    /** Reads the file; one that can't be read is a fault too. */
    [[nodiscard]] static DaemonSettings readFile(const QString &path, SettingsFindings &findings);

    /** Returns every field that settings may have, in the order in which they are read. */
    [[nodiscard]] static std::vector<SettingsField> fields();
};

} // namespace lacewingmux
