#pragma once

#include "lacewingmux_config/service/ConfigurationMessages.h"

#include <QString>

#include <vector>

namespace lacewingmux {

/**
    The last known records in one file of the data folder, for a VM that starts while neither the
    store nor a peer answers. The file is replaced atomically and may be lost without harm.
*/
class ConfigurationSnapshot
{
public:
    /** The folder must exist; an empty one makes all methods do nothing. */
    explicit ConfigurationSnapshot(const QString &dataFolder);

    /** Returns the records in the file; empty when there is none or it can't be read. */
    [[nodiscard]] std::vector<ConfigurationFile> load() const;

    /** Replaces the file; a failure is logged. */
    void save(const std::vector<ConfigurationFile> &files) const;

private:
    QString path;
};

} // namespace lacewingmux
