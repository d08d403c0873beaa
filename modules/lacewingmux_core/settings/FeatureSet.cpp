#include "lacewingmux_core/settings/FeatureSet.h"

#include "lacewingmux_core/settings/SettingsFindings.h"

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

struct NamedFeature
{
    Feature feature;
    const char *name;
};

constexpr std::array namedFeatures{
        NamedFeature{Feature::PromptSharing, "promptSharing"},
        NamedFeature{Feature::VmPreference, "vmPreference"},
        NamedFeature{Feature::ReplicaPace, "replicaPace"},
        NamedFeature{Feature::ReplicaPriorities, "replicaPriorities"},
        NamedFeature{Feature::ProgramAdmission, "programAdmission"},
        NamedFeature{Feature::ReadinessBySilence, "readinessBySilence"},
        NamedFeature{Feature::Tunnels, "tunnels"},
};

} // namespace

FeatureSet FeatureSet::without(const QString &names, SettingsFindings &findings)
{
    FeatureSet features;
    for (const QString &name : names.split(u',', Qt::SkipEmptyParts)) {
        const auto found = std::find_if(
                namedFeatures.begin(), namedFeatures.end(),
                [&name](const NamedFeature &named) { return name == QLatin1String(named.name); });
        if (found == namedFeatures.end())
            findings.faults.push_back({QStringLiteral("without"),
                                       QStringLiteral("\"%1\" is no feature; the features are %2")
                                               .arg(name, allNames().join(QStringLiteral(", ")))});
        else if (!features.has(found->feature))
            findings.faults.push_back({QStringLiteral("without"),
                                       QStringLiteral("\"%1\" is listed twice").arg(name)});
        else
            features.disable(found->feature);
    }
    return features;
}

QStringList FeatureSet::disabledNames() const
{
    QStringList names;
    for (const NamedFeature &named : namedFeatures) {
        if (!this->has(named.feature))
            names.append(QLatin1String(named.name));
    }
    return names;
}

QStringList FeatureSet::allNames()
{
    QStringList names;
    for (const NamedFeature &named : namedFeatures)
        names.append(QLatin1String(named.name));
    return names;
}

} // namespace lacewingmux
