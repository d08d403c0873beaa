#include "lacewingmux_experiment/results/ExperimentReport.h"

#include "lacewingmux_experiment/results/BarPlot.h"
#include "lacewingmux_experiment/results/MeasureColumn.h"

#include <QJsonArray>

namespace lacewingmux::experiment {

namespace {

std::vector<double> valuesOf(const MeasureColumn &column, const PolicyResult &policy)
{
    std::vector<double> values;
    for (const Measures &measures : policy.bySeed)
        values.push_back(column.value(measures));
    return values;
}

QString shown(double value)
{
    return QString::number(value, 'f', value != 0 && value < 0.1 ? 4 : 2);
}

QString shown(const Spread &spread)
{
    return QStringLiteral("%1 (%2 to %3)")
            .arg(shown(spread.mean), shown(spread.least), shown(spread.greatest));
}

} // namespace

ExperimentReport::ExperimentReport(const ScenarioResult &scenarioResult)
    : scenario(scenarioResult)
{ }

QString ExperimentReport::table() const
{
    const PolicyResult &naive = this->scenario.policies.at(0);
    const PolicyResult &whole = this->scenario.policies.at(1);
    QString text = QStringLiteral("| measure | %1 | %2 |\n|---|---|---|\n")
                           .arg(naive.policy, whole.policy);
    for (const MeasureColumn &column : measureColumns(this->scenario.workload)) {
        const QString base =
                column.asRatio ? QStringLiteral("1") : shown(this->figure(column, naive));
        text += QStringLiteral("| %1%2 | %3 | %4 |\n")
                        .arg(column.name, column.asRatio ? QStringLiteral(" / naive") : QString(),
                             base, shown(this->figure(column, whole)));
    }
    return text;
}

QString ExperimentReport::ablationTable() const
{
    QString text = QStringLiteral("| policy |");
    QString rule = QStringLiteral("|---|");
    std::vector<MeasureColumn> chief;
    for (const MeasureColumn &column : measureColumns(this->scenario.workload)) {
        if (!column.isChief)
            continue;
        chief.push_back(column);
        text += QStringLiteral(" %1 |").arg(column.name);
        rule += QStringLiteral("---|");
    }
    text += QLatin1Char('\n') + rule + QLatin1Char('\n');
    for (std::size_t index = 1; index < this->scenario.policies.size(); ++index) {
        const PolicyResult &policy = this->scenario.policies[index];
        text += QStringLiteral("| %1 |").arg(policy.policy);
        for (const MeasureColumn &column : chief)
            text += QStringLiteral(" %1 |").arg(shown(this->figure(column, policy).mean));
        text += QLatin1Char('\n');
    }
    return text;
}

QJsonObject ExperimentReport::json() const
{
    QJsonArray policies;
    for (const PolicyResult &policy : this->scenario.policies) {
        QJsonObject measures;
        for (const MeasureColumn &column : measureColumns(this->scenario.workload)) {
            const Spread spread = this->figure(column, policy);
            QJsonArray bySeed;
            for (const double value : valuesOf(column, policy))
                bySeed.append(value);
            measures.insert(column.name,
                            QJsonObject{{QStringLiteral("ratioToNaive"), column.asRatio},
                                        {QStringLiteral("mean"), spread.mean},
                                        {QStringLiteral("least"), spread.least},
                                        {QStringLiteral("greatest"), spread.greatest},
                                        {QStringLiteral("valuesBySeed"), bySeed}});
        }
        policies.append(QJsonObject{{QStringLiteral("policy"), policy.policy},
                                    {QStringLiteral("measures"), measures}});
    }
    return {{QStringLiteral("workload"), this->scenario.workload.name},
            {QStringLiteral("scenario"), this->scenario.workload.scenario},
            {QStringLiteral("load"), this->scenario.workload.load},
            {QStringLiteral("policies"), policies}};
}

QString ExperimentReport::plot() const
{
    BarPlot plot(QStringLiteral("%1, %2: ratio to naive (mean, least and greatest of the seeds)")
                         .arg(this->scenario.workload.name, this->scenario.workload.scenario));
    for (const MeasureColumn &column : measureColumns(this->scenario.workload))
        if (column.asRatio)
            plot.addBar(column.name, this->figure(column, this->scenario.policies.at(1)));
    const MeasureColumn percentile95 = measureColumns(this->scenario.workload).at(1);
    for (std::size_t index = 2; index < this->scenario.policies.size(); ++index) {
        const PolicyResult &ablated = this->scenario.policies[index];
        plot.addBar(percentile95.name + QStringLiteral(", ") + ablated.policy,
                    this->figure(percentile95, ablated));
    }
    return plot.toSvg();
}

Spread ExperimentReport::figure(const MeasureColumn &column, const PolicyResult &policy) const
{
    const std::vector<double> values = valuesOf(column, policy);
    return column.asRatio
                   ? spreadOfRatios(values, valuesOf(column, this->scenario.policies.front()))
                   : spreadOf(values);
}

} // namespace lacewingmux::experiment
