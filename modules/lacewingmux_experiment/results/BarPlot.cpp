#include "lacewingmux_experiment/results/BarPlot.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingmux::experiment {

namespace {

constexpr double labelWidth = 330; ///< all lengths in SVG user units
constexpr double barAreaWidth = 520;
constexpr double rightMargin = 70;
constexpr double barHeight = 16;
constexpr double barDistance = 24;
constexpr double titleHeight = 50;
constexpr double footHeight = 30;
constexpr double greatestShown = 2; ///< longer bars are cut, their figure stands beside them

QString textAt(double x, double y, const char *anchor, const QString &text)
{
    return QStringLiteral("<text x=\"%1\" y=\"%2\" text-anchor=\"%3\">%4</text>\n")
            .arg(x)
            .arg(y)
            .arg(QLatin1String(anchor), text.toHtmlEscaped());
}

QString lineFrom(double x1, double y1, double x2, double y2, const char *color)
{
    return QStringLiteral("<line x1=\"%1\" y1=\"%2\" x2=\"%3\" y2=\"%4\" stroke=\"%5\"/>\n")
            .arg(x1)
            .arg(y1)
            .arg(x2)
            .arg(y2)
            .arg(QLatin1String(color));
}

} // namespace

BarPlot::BarPlot(QString plotTitle)
    : title(std::move(plotTitle))
{ }

void BarPlot::addBar(const QString &label, const Spread &spread)
{
    this->bars.push_back({label, spread});
}

QString BarPlot::toSvg() const
{
    const double scale = barAreaWidth / this->scaleMaximum();
    const double bottom = titleHeight + barDistance * static_cast<double>(this->bars.size());
    const double width = labelWidth + barAreaWidth + rightMargin;
    QString svg = QStringLiteral("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%1\" "
                                 "height=\"%2\" font-family=\"sans-serif\" font-size=\"12\">\n"
                                 "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n")
                          .arg(width)
                          .arg(bottom + footHeight);
    svg += textAt(width / 2, 24, "middle", this->title);
    for (double tick = 0; tick <= this->scaleMaximum() + 0.01; tick += 0.25) {
        const double x = labelWidth + tick * scale;
        svg += lineFrom(x, titleHeight - 6, x, bottom, tick == 1 ? "#c0392b" : "#dddddd");
        svg += textAt(x, bottom + 18, "middle", QString::number(tick));
    }
    double top = titleHeight;
    for (const Bar &bar : this->bars) {
        svg += this->drawBar(bar, top, scale);
        top += barDistance;
    }
    return svg + QStringLiteral("</svg>\n");
}

double BarPlot::scaleMaximum() const
{
    double greatest = 1;
    for (const Bar &bar : this->bars)
        greatest = std::max(greatest, bar.spread.greatest);
    return std::ceil(std::min(greatest, greatestShown) * 4) / 4;
}

QString BarPlot::drawBar(const Bar &bar, double top, double scale) const
{
    const auto position = [scale, this](double value) {
        return labelWidth + std::min(value, this->scaleMaximum()) * scale;
    };
    const double middle = top + barHeight / 2;
    QString svg = textAt(labelWidth - 8, middle + 4, "end", bar.label);
    svg += QStringLiteral("<rect x=\"%1\" y=\"%2\" width=\"%3\" height=\"%4\" fill=\"#4a7fb5\"/>\n")
                   .arg(labelWidth)
                   .arg(top)
                   .arg(position(bar.spread.mean) - labelWidth)
                   .arg(barHeight);
    svg += lineFrom(position(bar.spread.least), middle, position(bar.spread.greatest), middle,
                    "black");
    return svg
           + textAt(position(std::max(bar.spread.greatest, bar.spread.mean)) + 6, middle + 4,
                    "start", QString::number(bar.spread.mean, 'f', 2));
}

} // namespace lacewingmux::experiment
