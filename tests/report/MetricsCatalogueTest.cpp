#include "lacewingmux_report/metrics/MetricsCatalogue.h"

#include <QDirIterator>
#include <QFile>
#include <QRegularExpression>
#include <QString>

#include <criterion/criterion.h>

#include <set>

using namespace lacewingmux;

namespace {

QString textOf(const QString &path)
{
    QFile file(path);
    cr_assert(file.open(QIODevice::ReadOnly), "%s", qPrintable(path));
    return QString::fromUtf8(file.readAll());
}

std::set<QString> namesIn(const QString &text, const QString &pattern)
{
    std::set<QString> names;
    auto matches = QRegularExpression(pattern).globalMatch(text);
    while (matches.hasNext())
        names.insert(matches.next().captured(1));
    return names;
}

/** Returns the metric names that the modules record, read from their sources. */
std::set<QString> recordedNames()
{
    std::set<QString> names;
    QDirIterator sources(QStringLiteral(LACEWINGMUX_SOURCE_DIR "/modules"),
                         {QStringLiteral("*.cpp")}, QDir::Files, QDirIterator::Subdirectories);
    while (sources.hasNext()) {
        const QString path = sources.next();
        if (path.endsWith(QStringLiteral("MetricsCatalogue.cpp")))
            continue;
        names.merge(namesIn(textOf(path), QStringLiteral("\"(lacewingmux_[a-z_]+)\"")));
    }
    return names;
}

} // namespace

Test(MetricsCatalogue, describesExactlyWhatTheModulesRecord)
{
    std::set<QString> described;
    for (const MetricDescription &description : MetricsCatalogue::all())
        described.insert(QString::fromLatin1(description.name));
    for (const QString &name : recordedNames())
        cr_assert(described.contains(name), "%s has no description", qPrintable(name));
    for (const QString &name : described)
        cr_assert(recordedNames().contains(name), "%s is never recorded", qPrintable(name));
}

Test(MetricsCatalogue, knowsEachMetricThatTheOperatorsPageNames)
{
    const QString page = textOf(QStringLiteral(LACEWINGMUX_SOURCE_DIR "/docs/OPERATIONS.md"));
    const std::set<QString> named = namesIn(page, QStringLiteral("`(lacewingmux_[a-z_]+)"));
    cr_assert_not(named.empty());
    for (const QString &name : named)
        cr_assert_not_null(MetricsCatalogue::find(name), "%s does not exist", qPrintable(name));
}
