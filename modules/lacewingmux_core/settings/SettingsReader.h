#pragma once

#include "lacewingmux_core/settings/FieldRules.h"
#include "lacewingmux_core/settings/SettingsFindings.h"

#include <QJsonObject>
#include <QJsonValue>
#include <QSet>

#include <chrono>
#include <functional>
#include <vector>

class QByteArray;

namespace lacewingmux {

/**
    Reads one JSON object field by field and notes every fault with its path, instead of stopping
    at the first one. A field that nobody asked for is a fault.

    Use readDocument() or readObject(): they call the function with a reader and then report the
    unknown fields. A method whose field is absent or faulty returns the fallback, or an empty
    value; so the result may be used only when the findings hold no fault.
*/
class SettingsReader
{
public:
    using Body = std::function<void(SettingsReader &reader)>;

    SettingsReader(const SettingsReader &) = delete;
    SettingsReader &operator=(const SettingsReader &) = delete;

    /** Parses the bytes as one JSON object and reads it; a syntax fault names its byte offset. */
    static void readDocument(const QByteArray &document, SettingsFindings &findings,
                             const Body &body);

    /** Reads the object. */
    static void readObject(const QJsonObject &object, SettingsFindings &findings, const Body &body);

    /** Tells whether the field is present. It still has to be asked for. */
    [[nodiscard]] bool has(const char *name) const;

    /** Reads a text. */
    QString text(const char *name, const TextRule &rule);

    /** Reads a whole number. */
    qint64 integer(const char *name, const NumberRule &rule);

    /** Reads a number. */
    double number(const char *name, const NumberRule &rule);

    /** Reads a whole number of milliseconds; the rule's unit is set to "ms". */
    std::chrono::milliseconds milliseconds(const char *name, NumberRule rule);

    /** Reads a whole number of seconds; the rule's unit is set to "s". */
    std::chrono::seconds seconds(const char *name, NumberRule rule);

    /** Reads true or false; without a fallback the field is required. */
    bool flag(const char *name, const QString &meaning, std::optional<bool> fallback);

    /** Reads a list of texts, each checked by the rule; the rule's fallback is not used. */
    std::vector<QString> texts(const char *name, const ListRule &listRule,
                               const TextRule &elementRule);

    /** Reads an object. When it is absent, the body reads an empty one. */
    void object(const char *name, const Body &body);

    /** Reads an object only when it is present; tells whether it was. */
    bool optionalObject(const char *name, const Body &body);

    /** Reads a list of objects; the body is called once for each. */
    void objects(const char *name, const ListRule &rule, const Body &body);

    /** Notes a fault of a field, for rules that concern several fields. */
    void fault(const char *name, const QString &message);

    /** Returns the path of a field of this object. */
    [[nodiscard]] QString pathOf(const char *name) const;

private:
    SettingsReader(QJsonObject readObject, QString objectPath, SettingsFindings &sharedFindings);

    [[nodiscard]] QJsonValue take(const char *name);
    void describe(const char *name, const QString &type, const QString &range,
                  const QString &fallback, const QString &meaning);
    void mismatch(const char *name, const QJsonValue &value, const QString &expected);
    double checkedNumber(const char *name, const NumberRule &rule, bool whole);
    void reportUnknownFields();

    QJsonObject source;
    QString path;
    SettingsFindings &findings;
    QSet<QString> asked;
};

} // namespace lacewingmux
