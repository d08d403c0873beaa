#pragma once

#include "lacewingmux_experiment/results/ScenarioResult.h"
#include "lacewingmux_experiment/results/Spread.h"

#include <QJsonObject>
#include <QString>

namespace lacewingmux::experiment {

struct MeasureColumn;

/** Shows the results of a scenario as a table in Markdown, as JSON and as a plot. */
class ExperimentReport
{
public:
    explicit ExperimentReport(const ScenarioResult &scenarioResult);

    /** Returns a table with a row for each measure and a column for the first two policies: mean
        over the seeds, least and greatest. */
    [[nodiscard]] QString table() const;

    /** Returns a table of the means of the chief measures with a row for each policy but the
        first. */
    [[nodiscard]] QString ablationTable() const;

    /** Returns the same figures, and each seed's values. */
    [[nodiscard]] QJsonObject json() const;

    /** Returns an SVG plot of the ratios to naive, with the spread over the seeds: every measure
        of the second policy, then the 95th percentile of the others. */
    [[nodiscard]] QString plot() const;

private:
    [[nodiscard]] Spread figure(const MeasureColumn &column, const PolicyResult &policy) const;

    const ScenarioResult &scenario;
};

} // namespace lacewingmux::experiment
