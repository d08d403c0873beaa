#pragma once

#include "lacewingmux_core/settings/Feature.h"

#include <QStringList>

#include <set>

namespace lacewingmux {

struct SettingsFindings;

/** The features that are switched on; all of them by default. */
class FeatureSet
{
public:
    /** Returns all features without those in the comma-separated list of names. A name that is not
        a feature's, or is listed twice, is added to the findings. */
    [[nodiscard]] static FeatureSet without(const QString &names, SettingsFindings &findings);

    [[nodiscard]] bool has(Feature feature) const
    {
        return this->disabled.count(feature) == 0;
    }

    void disable(Feature feature)
    {
        this->disabled.insert(feature);
    }

    /** Returns the names of the features that are switched off. */
    [[nodiscard]] QStringList disabledNames() const;

    /** Returns the names of all features. */
    [[nodiscard]] static QStringList allNames();

private:
    std::set<Feature> disabled;
};

} // namespace lacewingmux
