#include "lacewingmux_core/errors/ErrorTable.h"

#include <QFile>
#include <QMap>
#include <QStringList>

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

/** Returns the cells of each row of the table of errors, by kind. */
QMap<QString, QStringList> errorRows()
{
    QFile page(QStringLiteral(LACEWINGMUX_SOURCE_DIR "/docs/API.md"));
    cr_assert(page.open(QIODevice::ReadOnly));
    const QString text = QString::fromUtf8(page.readAll());
    QMap<QString, QStringList> rows;
    for (const QString &line : text.section(QStringLiteral("## Errors"), 1).split(u'\n')) {
        if (line.startsWith(QStringLiteral("## ")))
            break;
        QStringList cells = line.split(u'|');
        if (cells.size() < 7 || !cells[1].contains(u'`'))
            continue;
        for (QString &cell : cells)
            cell = cell.trimmed().remove(u'`');
        rows.insert(cells[1], cells);
    }
    return rows;
}

} // namespace

Test(ApiPage, listsEveryErrorKindWithItsAnswer)
{
    const QMap<QString, QStringList> rows = errorRows();
    cr_assert_eq(rows.size(), errorKindCount);
    for (int index = 0; index < errorKindCount; ++index) {
        const ErrorAnswer &answer = answerFor(static_cast<ErrorKind>(index));
        const auto row = rows.find(QString::fromLatin1(answer.name));
        cr_assert(row != rows.end(), "%s is missing", answer.name);
        cr_assert_eq(row->at(2).toInt(), answer.httpStatus, "%s: status", answer.name);
        const QString retry = answer.retryable ? QStringLiteral("yes") : QStringLiteral("no");
        cr_assert(row->at(4) == retry, "%s: retry", answer.name);
        for (const QString &executed : row->at(3).split(QStringLiteral(", ")))
            cr_assert(executed == QStringLiteral("no") || executed == QStringLiteral("unknown")
                              || executed == QStringLiteral("yes"),
                      "%s: executed", answer.name);
        cr_assert_not(row->at(5).isEmpty(), "%s: meaning", answer.name);
    }
}
