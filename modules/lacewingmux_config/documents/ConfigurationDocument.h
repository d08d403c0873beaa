#pragma once

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/settings/SettingsFindings.h"

#include <QByteArray>
#include <QJsonObject>

namespace lacewingmux {

/**
    The JSON form of the operators' configuration:

    {"plans": [{"team", "plan"}], "allowances": [{"plan", ...}], "routes": [{"name", ...}],
     "site": {"powerCapWatts"}, "objectives": [{"plan", ...}]}

    Reading checks the whole document: every fault is named with its path, range and unit, unknown
    fields are faults, and so are names that don't fit together.
*/
class ConfigurationDocument
{
public:
    /** Reads the document; the result may be used only when the findings hold no fault. */
    [[nodiscard]] static Configuration read(const QByteArray &json, SettingsFindings &findings);
    [[nodiscard]] static Configuration read(const QJsonObject &object, SettingsFindings &findings);

    /** Reads the document; throws ConfigurationInvalid with all faults. */
    [[nodiscard]] static Configuration parse(const QJsonObject &object);

    /** Returns the JSON form, with every field. */
    [[nodiscard]] static QJsonObject toJson(const Configuration &configuration);
};

} // namespace lacewingmux
