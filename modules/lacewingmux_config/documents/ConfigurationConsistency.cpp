#include "lacewingmux_config/documents/ConfigurationConsistency.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/settings/SettingsReader.h"

#include <QSet>

namespace lacewingmux {

namespace {

/** Names one field of one element of a list, for example "plans[3].team". */
QByteArray elementField(const char *list, std::size_t index, const char *field)
{
    return QByteArray(list) + '[' + QByteArray::number(static_cast<qulonglong>(index)) + "]."
           + field;
}

/** Adds the name to the set; notes a fault when it is there already. */
void addUnique(QSet<QString> &names, const QString &name, const QByteArray &field,
               SettingsReader &reader)
{
    if (names.contains(name))
        reader.fault(field.constData(), QStringLiteral("\"%1\" stands twice").arg(name));
    names.insert(name);
}

void requireKnown(const QSet<QString> &names, const QString &name, const QByteArray &field,
                  const char *list, SettingsReader &reader)
{
    if (names.contains(name))
        return;
    reader.fault(field.constData(), QStringLiteral("\"%1\" is not in the list \"%2\"")
                                            .arg(name, QString::fromLatin1(list)));
}

} // namespace

void checkConsistency(const Configuration &configuration, SettingsReader &reader)
{
    QSet<QString> plans;
    for (std::size_t index = 0; index < configuration.allowances.size(); ++index) {
        addUnique(plans, configuration.allowances[index].plan,
                  elementField("allowances", index, "plan"), reader);
    }
    QSet<QString> teams;
    for (std::size_t index = 0; index < configuration.plans.size(); ++index) {
        const TeamPlan &entry = configuration.plans[index];
        addUnique(teams, entry.team, elementField("plans", index, "team"), reader);
        requireKnown(plans, entry.plan, elementField("plans", index, "plan"), "allowances", reader);
    }
    QSet<QString> routes;
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        const Route &route = configuration.routes[index];
        addUnique(routes, route.name, elementField("routes", index, "name"), reader);
        for (const QString &team : route.teams)
            requireKnown(teams, team, elementField("routes", index, "teams"), "plans", reader);
    }
    QSet<QString> objectives;
    for (std::size_t index = 0; index < configuration.objectives.size(); ++index) {
        const ServiceLevelObjective &objective = configuration.objectives[index];
        const QByteArray planField = elementField("objectives", index, "plan");
        requireKnown(plans, objective.plan, planField, "allowances", reader);
        if (!objective.route.isEmpty()) {
            requireKnown(routes, objective.route, elementField("objectives", index, "route"),
                         "routes", reader);
        }
        addUnique(objectives, objective.plan + u' ' + objective.route, planField, reader);
    }
}

} // namespace lacewingmux
