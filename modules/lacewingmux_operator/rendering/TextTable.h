#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QString>
#include <QStringList>

#include <vector>

namespace lacewingmux {

/** A table for a terminal with aligned columns. */
class TextTable
{
public:
    explicit TextTable(QStringList columnTitles);

    /** Adds a row; missing cells stay empty. */
    void addRow(const QStringList &cells);

    /** Returns the table, one line a row, with a line feed at the end of each. */
    [[nodiscard]] QString toString() const;

    /** Makes a table of a list of objects with a column for each field. */
    [[nodiscard]] static TextTable fromJson(const QJsonArray &objects);

    /** Shows any object: plain fields as "name: value", lists of objects as tables. */
    [[nodiscard]] static QString describe(const QJsonObject &object);

private:
    QStringList titles;
    std::vector<QStringList> rows;
};

} // namespace lacewingmux
