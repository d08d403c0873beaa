#pragma once

#include <QByteArray>
#include <QJsonArray>
#include <QJsonObject>
#include <QString>

#include <map>

namespace lacewingmux {

/** Assembles the chunks of a streamed chat completion into the equivalent unstreamed completion. */
class CompletionAssembler
{
public:
    /** Adds the JSON of one chunk. Anything but a chat completion chunk has no effect. */
    void add(const QJsonObject &chunk);

    /** Returns the body of the assembled chat completion. */
    [[nodiscard]] QByteArray body() const;

private:
    struct Choice
    {
        QString role = QStringLiteral("assistant");
        QString content;
        QString refusal;
        QString finishReason;
        std::map<int, QJsonObject> toolCalls; ///< by index
    };

    static void addDelta(Choice &choice, const QJsonObject &delta);
    static void addToolCall(Choice &choice, const QJsonObject &delta);
    [[nodiscard]] static QJsonObject choiceToJson(int index, const Choice &choice);

    QJsonObject commonFields; ///< such as id and model, from the first chunk that has them
    QJsonObject usage;
    std::map<int, Choice> choices;
};

} // namespace lacewingmux
