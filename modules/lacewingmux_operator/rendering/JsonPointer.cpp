#include "lacewingmux_operator/rendering/JsonPointer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonObject>

namespace lacewingmux {

JsonPointer::JsonPointer(const QString &text)
{
    if (!text.startsWith(u'/') || text.size() < 2)
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("%1: expected a JSON pointer such as "
                                              "/allowances/0/requestsPerSecond")
                                       .arg(text));
    for (QString word : text.mid(1).split(u'/')) {
        word.replace(QLatin1String("~1"), QLatin1String("/"));
        word.replace(QLatin1String("~0"), QLatin1String("~"));
        this->words.append(word);
    }
}

QJsonValue JsonPointer::withValue(const QJsonValue &document, const QJsonValue &value) const
{
    return this->changed(document, 0, value);
}

QJsonValue JsonPointer::without(const QJsonValue &document) const
{
    return this->changed(document, 0, QJsonValue(QJsonValue::Undefined));
}

QJsonValue JsonPointer::changed(const QJsonValue &parent, qsizetype word,
                                const QJsonValue &value) const
{
    if (word == this->words.size())
        return value;
    if (parent.isArray())
        return this->changedList(parent, word, value);
    QJsonObject object = parent.toObject();
    const QString &name = this->words[word];
    const bool isLast = word + 1 == this->words.size();
    if (!parent.isObject() || (!object.contains(name) && (!isLast || value.isUndefined())))
        this->fail(word);
    const QJsonValue element = this->changed(object.value(name), word + 1, value);
    if (element.isUndefined())
        object.remove(name);
    else
        object.insert(name, element);
    return object;
}

QJsonValue JsonPointer::changedList(const QJsonValue &parent, qsizetype word,
                                    const QJsonValue &value) const
{
    QJsonArray array = parent.toArray();
    const bool isLast = word + 1 == this->words.size();
    if (this->words[word] == QLatin1String("-") && isLast && !value.isUndefined()) {
        array.append(value);
        return array;
    }
    bool isNumber = false;
    const qsizetype index = this->words[word].toLongLong(&isNumber);
    if (!isNumber || index < 0 || index >= array.size())
        this->fail(word);
    const QJsonValue element = this->changed(array[index], word + 1, value);
    if (element.isUndefined())
        array.removeAt(index);
    else
        array[index] = element;
    return array;
}

void JsonPointer::fail(qsizetype word) const
{
    throw LacewingmuxError(ErrorKind::MalformedRequest,
                           QStringLiteral("/%1: there is no such place")
                                   .arg(this->words.mid(0, word + 1).join(u'/')));
}

} // namespace lacewingmux
