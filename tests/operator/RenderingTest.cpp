#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/commands/InForceWait.h"
#include "lacewingmux_operator/rendering/DocumentDifference.h"
#include "lacewingmux_operator/rendering/JsonPointer.h"
#include "lacewingmux_operator/rendering/TextTable.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

QJsonObject object(const char *json)
{
    return QJsonDocument::fromJson(json).object();
}

} // namespace

Test(DocumentDifference, findsElementsAgainByTheirName)
{
    const QStringList lines = documentDifference(
            object(R"({"plans": [{"team": "b", "plan": "x"}, {"team": "c", "plan": "x"}]})"),
            object(R"({"plans": [{"team": "a", "plan": "x"}, {"team": "b", "plan": "y"}]})"));
    cr_assert(lines.contains(QStringLiteral("- plans[b].plan: \"x\"")));
    cr_assert(lines.contains(QStringLiteral("+ plans[b].plan: \"y\"")));
    cr_assert(lines.contains(QStringLiteral("+ plans[a].plan: \"x\"")));
    cr_assert(lines.contains(QStringLiteral("- plans[c].plan: \"x\"")));
    cr_assert_eq(lines.size(), 6);
}

Test(JsonPointer, setsAppendsAndRemoves)
{
    QJsonValue document = object(R"({"plans": [{"team": "a"}], "site": {}})");
    document = JsonPointer(QStringLiteral("/site/powerCapWatts")).withValue(document, 5);
    document =
            JsonPointer(QStringLiteral("/plans/-")).withValue(document, object(R"({"team":"b"})"));
    document = JsonPointer(QStringLiteral("/plans/0")).without(document);
    cr_assert(document.toObject()
              == object(R"({"plans":[{"team":"b"}],"site":{"powerCapWatts":5}})"));
    for (const char *missing : {"/plans/7", "/plans/x", "/none/x", "/site/none", "plans"}) {
        cr_assert_throw(
                static_cast<void>(JsonPointer(QString::fromLatin1(missing)).without(document)),
                LacewingmuxError, "%s", missing);
    }
}

Test(TextTable, alignsColumnsAndShowsListsAsTables)
{
    const QString text = TextTable::describe(
            object(R"({"vm": "a", "views": [{"zone": "north", "epoch": 7}, {"zone": "s"}]})"));
    cr_assert_eq(text, QStringLiteral("vm: a\n\nviews\nepoch  zone\n7      north\n       s\n"));
}

Test(InForceWait, namesTheZonesThatLackARevision)
{
    const QJsonArray zones = object(R"({"z": [{"zone": "a", "configuration": 3},
                                              {"zone": "b", "configuration": 2}]})")
                                     .value(QLatin1String("z"))
                                     .toArray();
    cr_assert(InForceWait::zonesWithout(zones, 3) == QStringList{QStringLiteral("b")});
    cr_assert(InForceWait::zonesWithout(zones, 2).isEmpty());
}
