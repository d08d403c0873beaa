#include "lacewingmux_config/documents/ConfigurationDocument.h"

#include <QJsonDocument>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QByteArray valid = R"({
    "plans": [{"team": "accra", "plan": "large"}, {"team": "kumasi", "plan": "small"}],
    "allowances": [
        {"plan": "large", "requestsPerSecond": 50, "burstRequests": 100, "weight": 2,
         "programBudgetTokens": 200000, "programTurnLimit": 98, "serveWithoutStoreSeconds": 600},
        {"plan": "small", "requestsPerSecond": 5, "burstRequests": 10,
         "programBudgetTokens": 50000, "programTurnLimit": 40}],
    "routes": [
        {"name": "verification", "kind": "engine", "maxOutputTokens": 512},
        {"name": "onboarding", "kind": "service", "idempotent": false, "teams": ["accra"]}],
    "site": {"powerCapWatts": 12000},
    "objectives": [{"plan": "large", "availability": 0.999, "latencyMs": 2500}]})";

QString faultsOf(const QByteArray &json)
{
    SettingsFindings findings;
    static_cast<void>(ConfigurationDocument::read(json, findings));
    return findings.faultText();
}

QByteArray with(const QByteArray &before, const QByteArray &after)
{
    QByteArray changed = valid;
    return changed.replace(before, after);
}

} // namespace

Test(ConfigurationDocument, survivesWritingAndReading)
{
    SettingsFindings findings;
    const Configuration read = ConfigurationDocument::read(valid, findings);
    cr_assert(findings.faults.empty());
    cr_assert(read.allowanceOf(QStringLiteral("accra"))->serveWithoutStore == 600s);
    cr_assert(read.route(QStringLiteral("onboarding"))->kind == RouteKind::Service);
    const QJsonObject written = ConfigurationDocument::toJson(read);
    const Configuration again = ConfigurationDocument::parse(written);
    cr_assert(ConfigurationDocument::toJson(again) == written);
}

Test(ConfigurationDocument, namesEveryFaultWithPathRangeAndUnit)
{
    const QString faults = faultsOf(with("\"requestsPerSecond\": 50", "\"requestsPerSecond\": -1")
                                            .replace("\"weight\": 2", "\"wieght\": 2")
                                            .replace("12000", "\"much\""));
    for (const char *expected :
         {"allowances[0].requestsPerSecond: found -1", "0 to 1000000 requests/s",
          "allowances[0].wieght: unknown field", "site.powerCapWatts: found \"much\"", " W"})
        cr_assert(faults.contains(QLatin1String(expected)), "%s in %s", expected,
                  qPrintable(faults));
}

Test(ConfigurationDocument, refusesNamesThatDoNotFitTogether)
{
    cr_assert(faultsOf(with("\"plan\": \"small\"}]", "\"plan\": \"tiny\"}]"))
                      .contains(QLatin1String("plans[1].plan: \"tiny\" is not in")));
    cr_assert(faultsOf(with("\"team\": \"kumasi\"", "\"team\": \"accra\""))
                      .contains(QLatin1String("plans[1].team: \"accra\" stands twice")));
    cr_assert(faultsOf(with("[\"accra\"]", "[\"tema\"]"))
                      .contains(QLatin1String("routes[1].teams: \"tema\" is not in")));
    cr_assert(faultsOf("{").contains(QLatin1String("not JSON at byte")));
}
