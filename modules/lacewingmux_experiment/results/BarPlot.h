#pragma once

#include "lacewingmux_experiment/results/Spread.h"

#include <QString>

#include <vector>

namespace lacewingmux::experiment {

/** A plot of horizontal bars with whiskers and a line at 1, written as SVG. */
class BarPlot
{
public:
    explicit BarPlot(QString plotTitle);

    /** Adds a bar below the others. */
    void addBar(const QString &label, const Spread &spread);

    /** Returns the whole SVG document. */
    [[nodiscard]] QString toSvg() const;

private:
    struct Bar
    {
        QString label;
        Spread spread;
    };

    [[nodiscard]] double scaleMaximum() const;
    [[nodiscard]] QString drawBar(const Bar &bar, double top, double scale) const;

    QString title;
    std::vector<Bar> bars;
};

} // namespace lacewingmux::experiment
