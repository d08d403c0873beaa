#include "lacewingmux_operator/rendering/TextTable.h"

#include <QJsonDocument>

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr qsizetype columnGap = 2; ///< blanks between columns

QString cellText(const QJsonValue &value)
{
    if (value.isString())
        return value.toString();
    if (value.isArray() || value.isObject() || value.isNull()) {
        const QByteArray text = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
        return QString::fromUtf8(text.mid(1, text.size() - 2));
    }
    return value.toVariant().toString();
}

bool isListOfObjects(const QJsonValue &value)
{
    const QJsonArray array = value.toArray();
    return !array.isEmpty() && std::all_of(array.begin(), array.end(), [](const auto &element) {
        return element.isObject();
    });
}

} // namespace

TextTable::TextTable(QStringList columnTitles)
    : titles(std::move(columnTitles))
{ }

void TextTable::addRow(const QStringList &cells)
{
    this->rows.push_back(cells);
}

QString TextTable::toString() const
{
    std::vector<QStringList> lines{this->titles};
    lines.insert(lines.end(), this->rows.begin(), this->rows.end());
    QString text;
    for (const QStringList &line : lines) {
        QString padded;
        for (qsizetype column = 0; column < this->titles.size(); ++column) {
            qsizetype width = 0;
            for (const QStringList &other : lines)
                width = std::max(width, other.value(column).size());
            padded += line.value(column).leftJustified(width + columnGap);
        }
        while (padded.endsWith(u' '))
            padded.chop(1);
        text += padded + u'\n';
    }
    return text;
}

TextTable TextTable::fromJson(const QJsonArray &objects)
{
    QStringList names;
    for (const QJsonValue entry : objects) {
        for (const QString &name : entry.toObject().keys()) {
            if (!names.contains(name))
                names.append(name);
        }
    }
    TextTable table(names);
    for (const QJsonValue entry : objects) {
        QStringList cells;
        for (const QString &name : std::as_const(names))
            cells.append(cellText(entry.toObject().value(name)));
        table.addRow(cells);
    }
    return table;
}

QString TextTable::describe(const QJsonObject &object)
{
    QString fields;
    QString tables;
    for (auto field = object.begin(); field != object.end(); ++field) {
        if (isListOfObjects(*field))
            tables += u'\n' + field.key() + u'\n' + fromJson(field->toArray()).toString();
        else
            fields += field.key() + QStringLiteral(": ") + cellText(*field) + u'\n';
    }
    return fields + tables;
}

} // namespace lacewingmux
