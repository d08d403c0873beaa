#include "lacewingmux_experiment/results/MeasureColumn.h"

#include <QStringList>

#include <utility>

namespace lacewingmux::experiment {

std::vector<MeasureColumn> measureColumns(const Workload &workload)
{
    std::vector<MeasureColumn> columns;
    const auto add = [&columns](const QString &name, bool asRatio,
                                std::function<double(const Measures &)> value) {
        columns.push_back({name, asRatio, std::move(value), false});
    };
    add(QStringLiteral("median"), true, [](const Measures &m) { return m.latency.median; });
    add(QStringLiteral("p95"), true, [](const Measures &m) { return m.latency.percentile95; });
    add(QStringLiteral("p95 within rate"), true,
        [](const Measures &m) { return m.latencyWithinRate.percentile95; });
    add(QStringLiteral("p95 without pauses"), true,
        [](const Measures &m) { return m.latencyWithoutPauses.percentile95; });
    for (std::size_t index = 0; index < workload.classes.size(); ++index) {
        const QString &name = workload.classes[index].name;
        add(name + QStringLiteral(" median"), true,
            [index](const Measures &m) { return m.latencyOfClass[index].median; });
        add(name + QStringLiteral(" p95"), true,
            [index](const Measures &m) { return m.latencyOfClass[index].percentile95; });
    }
    add(QStringLiteral("tokens computed again"), true,
        [](const Measures &m) { return m.recomputedTokens; });
    add(QStringLiteral("memory of paused"), true,
        [](const Measures &m) { return m.pausedTokenSeconds; });
    add(QStringLiteral("memory of ended"), true,
        [](const Measures &m) { return m.endedTokenSeconds; });
    add(QStringLiteral("worst team slowdown"), false,
        [](const Measures &m) { return m.worstTeamSlowdown; });
    add(QStringLiteral("worst team slowdown ratio"), true,
        [](const Measures &m) { return m.worstTeamSlowdown; });
    add(QStringLiteral("wrongful refusals"), false,
        [](const Measures &m) { return m.wrongfulRefusalPart; });
    add(QStringLiteral("unfinished programs"), false,
        [](const Measures &m) { return m.unfinishedPrograms; });
    add(QStringLiteral("replica crashes"), false, [](const Measures &m) { return m.crashes; });
    const QStringList chief{QStringLiteral("median"),
                            QStringLiteral("p95"),
                            QStringLiteral("tokens computed again"),
                            QStringLiteral("memory of ended"),
                            QStringLiteral("worst team slowdown"),
                            QStringLiteral("wrongful refusals"),
                            QStringLiteral("unfinished programs"),
                            QStringLiteral("replica crashes")};
    for (MeasureColumn &column : columns)
        column.isChief = chief.contains(column.name);
    return columns;
}

} // namespace lacewingmux::experiment
