#pragma once

#include "lacewingmux_report/burn/BurnCounts.h"
#include "lacewingmux_report/burn/BurnRow.h"
#include "lacewingmux_report/burn/BurnWindow.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonObject>
#include <QString>

#include <array>
#include <vector>

namespace lacewingmux {

class Configuration;
struct ServiceLevelObjective;

/**
    The service-level burn of the fleet, put together from what each VM counted.

    A burn rate is the share of bad requests divided by the share that the objective allows. An
    alert needs two windows at once, so that it neither rings for a blip nor rings on after the
    trouble has passed: a page at 14.4 over 1 h and 5 min, a ticket at 6 over 6 h and 1 h or at 1
    over 3 d and 6 h, the multiwindow rule of the Google SRE workbook, chapter 5.
*/
class BurnReport
{
public:
    /** Adds the counts of one VM, as BurnRecorder::toJson wrote them. Throws MalformedRequest. */
    void add(const QJsonArray &countsOfVm);

    /** Returns one row for each team and route that has an objective, worst first. */
    [[nodiscard]] std::vector<BurnRow> rows(const Configuration &configuration) const;

    /** Returns the rows as a table for a terminal. */
    [[nodiscard]] static QString toTable(const std::vector<BurnRow> &rows);

    /** Returns {"rows": […]}. */
    [[nodiscard]] static QJsonObject toJson(const std::vector<BurnRow> &rows);

    /** Returns one self-contained HTML page with bars for each window. */
    [[nodiscard]] static QByteArray toHtml(const std::vector<BurnRow> &rows);

private:
    struct Entry
    {
        QString team;
        QString route;
        std::array<BurnCounts, burnWindowCount> counts{};
    };

    [[nodiscard]] Entry &entryFor(const QString &team, const QString &route);

    std::vector<Entry> entries;
};

} // namespace lacewingmux
