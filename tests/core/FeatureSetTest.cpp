#include "lacewingmux_core/settings/FeatureSet.h"

#include "lacewingmux_core/settings/SettingsFindings.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(FeatureSet, everythingIsOnByDefault)
{
    SettingsFindings findings;
    const FeatureSet features = FeatureSet::without({}, findings);
    cr_assert(findings.faults.empty());
    cr_assert(features.disabledNames().isEmpty());
}

Test(FeatureSet, listedFeaturesAreOff)
{
    SettingsFindings findings;
    const FeatureSet features =
            FeatureSet::without(QStringLiteral("tunnels,vmPreference"), findings);
    cr_assert(findings.faults.empty());
    cr_assert_not(features.has(Feature::Tunnels));
    cr_assert_not(features.has(Feature::VmPreference));
    cr_assert(features.has(Feature::PromptSharing));
    cr_assert_eq(features.disabledNames().size(), 2);
}

Test(FeatureSet, eachNameSwitchesOneFeatureOff)
{
    for (const QString &name : FeatureSet::allNames()) {
        SettingsFindings findings;
        const FeatureSet features = FeatureSet::without(name, findings);
        cr_assert(features.disabledNames() == QStringList{name}, "%s", qPrintable(name));
    }
}

// Guards against an incident in which an operator believes a mechanism off that is on.
Test(FeatureSet, unknownAndRepeatedNamesAreFaults)
{
    for (const QString &names : {QStringLiteral("tunnel"), QStringLiteral("Tunnels"),
                                 QStringLiteral("tunnels,tunnels"), QStringLiteral("tunnels, x")}) {
        SettingsFindings findings;
        (void)FeatureSet::without(names, findings);
        cr_assert_eq(findings.faults.size(), 1, "%s", qPrintable(names));
    }
}
