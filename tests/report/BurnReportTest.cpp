#include "lacewingmux_report/burn/BurnReport.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_report/burn/BurnRecorder.h"

#include <criterion/criterion.h>

#include <deque>
#include <random>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const std::chrono::system_clock::time_point start{std::chrono::hours(500000)};

std::shared_ptr<const Configuration> configurationWithObjective()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->plans = {{QStringLiteral("<b>team</b>"), QStringLiteral("gold")},
                            {QStringLiteral("quiet"), QStringLiteral("gold")}};
    Allowance allowance;
    allowance.plan = QStringLiteral("gold");
    configuration->allowances = {allowance};
    configuration->objectives = {{QStringLiteral("gold"), QString(), 0.99, 2000ms, 0.95}};
    return configuration;
}

ServedRequest served(const char *team, bool failed, std::chrono::minutes offset)
{
    return {QString::fromLatin1(team), QStringLiteral("chat"), failed, 100ms, start + offset};
}

} // namespace

Test(BurnHistory, sumsLikeANaiveListOfRequests)
{
    std::mt19937_64 random(11);
    BurnHistory history;
    std::deque<std::chrono::minutes> naive;
    std::chrono::minutes now{0};
    for (int step = 0; step < 20000; ++step) {
        now += std::chrono::minutes(random() % 3);
        history.add(start + now, BurnCounts{1, 0, 0});
        naive.push_back(now);
        if (step % 97 != 0)
            continue;
        for (const auto length : {5min, 60min}) {
            std::uint64_t expected = 0;
            for (const auto when : naive)
                expected += when >= now - length ? 1 : 0;
            cr_assert_eq(history.sum(start + now, length).requests, expected);
        }
    }
}

Test(BurnReport, mergesVmsBeforeItJudges)
{
    const auto configuration = configurationWithObjective();
    BurnReport report;
    for (int vm = 0; vm < 2; ++vm) {
        BurnRecorder recorder;
        recorder.setConfiguration(configuration);
        for (int index = 0; index < 100; ++index)
            recorder.record(served("<b>team</b>", vm == 0 && index < 40, 1min));
        report.add(recorder.toJson(start + 2min));
    }

    const auto rows = report.rows(*configuration);
    cr_assert_eq(rows.size(), 1);
    cr_assert_eq(rows[0].counts[0].requests, 200);
    cr_assert_float_eq(rows[0].availabilityBurn[0], 20.0, 1e-9);
    cr_assert_eq(rows[0].alert, BurnAlert::Page);
}

Test(BurnReport, doesNotPageForTroubleThatHasPassed)
{
    const auto configuration = configurationWithObjective();
    BurnRecorder recorder;
    recorder.setConfiguration(configuration);
    for (int index = 0; index < 100; ++index)
        recorder.record(served("quiet", true, 1min));
    for (int index = 0; index < 100; ++index)
        recorder.record(served("quiet", false, 30min));
    BurnReport report;
    report.add(recorder.toJson(start + 31min));
    cr_assert_neq(report.rows(*configuration)[0].alert, BurnAlert::Page);
}

Test(BurnReport, escapesNamesInTheHtmlPage)
{
    const auto configuration = configurationWithObjective();
    BurnRecorder recorder;
    recorder.setConfiguration(configuration);
    recorder.record(served("<b>team</b>", false, 1min));
    BurnReport report;
    report.add(recorder.toJson(start + 1min));
    const QByteArray html = BurnReport::toHtml(report.rows(*configuration));
    cr_assert(html.contains("&lt;b&gt;team&lt;/b&gt;"));
    cr_assert_not(html.contains("<b>team</b>"));
}

Test(BurnReport, refusesCountsThatAreNone)
{
    BurnReport report;
    cr_assert_throw(
            report.add(QJsonArray{QJsonObject{{QStringLiteral("team"), QStringLiteral("x")}}}),
            LacewingmuxError);
}
