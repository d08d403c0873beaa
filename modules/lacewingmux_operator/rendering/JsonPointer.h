#pragma once

#include <QJsonValue>
#include <QString>
#include <QStringList>

namespace lacewingmux {

/** A place in a JSON document, as RFC 6901 writes it; "-" appends to a list. */
class JsonPointer
{
public:
    /** Parses "/a/0/b". Throws LacewingmuxError (MalformedRequest). */
    explicit JsonPointer(const QString &text);

    /** Returns the document with the value at the place. Throws when the way there is missing. */
    [[nodiscard]] QJsonValue withValue(const QJsonValue &document, const QJsonValue &value) const;

    /** Returns the document without the place. Throws when there is no such place. */
    [[nodiscard]] QJsonValue without(const QJsonValue &document) const;

private:
    /** Puts the value at the place that the words from the given one on name; undefined removes. */
    [[nodiscard]] QJsonValue changed(const QJsonValue &parent, qsizetype word,
                                     const QJsonValue &value) const;
    [[nodiscard]] QJsonValue changedList(const QJsonValue &parent, qsizetype word,
                                         const QJsonValue &value) const;
    [[noreturn]] void fail(qsizetype word) const;

    QStringList words;
};

} // namespace lacewingmux
