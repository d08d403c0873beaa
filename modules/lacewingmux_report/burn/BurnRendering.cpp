#include "lacewingmux_report/burn/BurnReport.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr double fullBarBurn = 14.4; ///< burn rate at which a bar reaches its full height
constexpr double barHeight = 48;     ///< pixels
constexpr double barWidth = 18;      ///< pixels
constexpr double barGap = 6;         ///< pixels

const char *const pageStyle =
        "body{font:14px sans-serif;margin:2em}"
        "table{border-collapse:collapse}"
        "th,td{padding:.4em .8em;border-bottom:1px solid #ccc;text-align:left}"
        ".page{background:#f8d7da}.ticket{background:#fff3cd}";

QString rate(double value)
{
    return QString::number(value, 'f', value < 10 ? 2 : 1);
}

QString rateList(const std::array<double, burnWindowCount> &rates)
{
    QString text;
    for (const double value : rates)
        text += rate(value).rightJustified(8);
    return text;
}

QJsonObject windowJson(const BurnRow &row, std::size_t index)
{
    return QJsonObject{
            {QStringLiteral("window"), QString::fromLatin1(burnWindows[index].name)},
            {QStringLiteral("requests"), static_cast<qint64>(row.counts[index].requests)},
            {QStringLiteral("failed"), static_cast<qint64>(row.counts[index].failed)},
            {QStringLiteral("slow"), static_cast<qint64>(row.counts[index].slow)},
            {QStringLiteral("availabilityBurn"), row.availabilityBurn[index]},
            {QStringLiteral("latencyBurn"), row.latencyBurn[index]}};
}

QString barColour(double value)
{
    if (value >= fullBarBurn)
        return QStringLiteral("#c0392b");
    return value >= 1 ? QStringLiteral("#e69f00") : QStringLiteral("#2e86ab");
}

QString bars(const std::array<double, burnWindowCount> &rates)
{
    QString svg = QStringLiteral("<svg width=\"%1\" height=\"%2\" role=\"img\">")
                          .arg(burnWindowCount * (barWidth + barGap))
                          .arg(barHeight + 14);
    for (std::size_t index = 0; index < burnWindowCount; ++index) {
        const double height = std::min(1.0, rates[index] / fullBarBurn) * barHeight;
        const double x = static_cast<double>(index) * (barWidth + barGap);
        svg += QStringLiteral("<rect x=\"%1\" y=\"%2\" width=\"%3\" height=\"%4\" fill=\"%5\">"
                              "<title>%6: %7</title></rect>"
                              "<text x=\"%1\" y=\"%8\" font-size=\"10\">%6</text>")
                       .arg(x)
                       .arg(barHeight - height)
                       .arg(barWidth)
                       .arg(height)
                       .arg(barColour(rates[index]), QLatin1String(burnWindows[index].name),
                            rate(rates[index]))
                       .arg(barHeight + 12);
    }
    return svg + QStringLiteral("</svg>");
}

QString htmlRow(const BurnRow &row)
{
    return QStringLiteral("<tr class=\"%1\"><td>%2</td><td>%3</td><td>%4</td><td>%1</td>"
                          "<td>%5</td><td>%6</td><td>%7</td></tr>\n")
            .arg(burnAlertName(row.alert), row.team.toHtmlEscaped(), row.route.toHtmlEscaped(),
                 row.plan.toHtmlEscaped(), bars(row.availabilityBurn), bars(row.latencyBurn),
                 QString::number(row.counts.back().requests));
}

} // namespace

QString BurnReport::toTable(const std::vector<BurnRow> &rows)
{
    QString windows;
    for (const BurnWindow &window : burnWindows)
        windows += QString::fromLatin1(window.name).rightJustified(8);
    QString text = QStringLiteral("%1%2%3%4   %5\n")
                           .arg(QStringLiteral("ALERT"), -8)
                           .arg(QStringLiteral("TEAM"), -20)
                           .arg(QStringLiteral("ROUTE"), -24)
                           .arg(QStringLiteral("AVAILABILITY").rightJustified(windows.size()),
                                QStringLiteral("LATENCY").rightJustified(windows.size()));
    text += QString(52, u' ') + windows + QStringLiteral("   ") + windows + u'\n';
    for (const BurnRow &row : rows) {
        text += QStringLiteral("%1%2%3%4   %5\n")
                        .arg(burnAlertName(row.alert), -8)
                        .arg(row.team, -20)
                        .arg(row.route, -24)
                        .arg(rateList(row.availabilityBurn), rateList(row.latencyBurn));
    }
    return text;
}

QJsonObject BurnReport::toJson(const std::vector<BurnRow> &rows)
{
    QJsonArray list;
    for (const BurnRow &row : rows) {
        QJsonArray windows;
        for (std::size_t index = 0; index < burnWindowCount; ++index)
            windows.append(windowJson(row, index));
        list.append(
                QJsonObject{{QStringLiteral("team"), row.team},
                            {QStringLiteral("route"), row.route},
                            {QStringLiteral("plan"), row.plan},
                            {QStringLiteral("alert"), burnAlertName(row.alert)},
                            {QStringLiteral("availabilityObjective"), row.availabilityObjective},
                            {QStringLiteral("latencyShareObjective"), row.latencyObjective},
                            {QStringLiteral("windows"), windows}});
    }
    return QJsonObject{{QStringLiteral("rows"), list}};
}

QByteArray BurnReport::toHtml(const std::vector<BurnRow> &rows)
{
    QString html =
            QStringLiteral("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
                           "<title>Service-level burn</title><style>%1</style></head><body>"
                           "<h1>Service-level burn</h1>"
                           "<p>1 spends the error budget exactly; a full bar is %2.</p>"
                           "<table><tr><th>Team</th><th>Route</th><th>Plan</th><th>Alert</th>"
                           "<th>Availability</th><th>Latency</th><th>Requests, 3 days</th>"
                           "</tr>\n")
                    .arg(QLatin1String(pageStyle))
                    .arg(fullBarBurn);
    for (const BurnRow &row : rows)
        html += htmlRow(row);
    return (html + QStringLiteral("</table></body></html>\n")).toUtf8();
}

} // namespace lacewingmux
