#pragma once

#include <QByteArray>
#include <QJsonArray>
#include <QJsonObject>
#include <QString>

#include <map>

namespace lacewingmux {

/** Puts the chunks of a streamed chat completion together to what it would have been unstreamed. */
class CompletionAssembler
{
public:
    /** Takes the JSON of one chunk; others than chat completion chunks are ignored. */
    void add(const QJsonObject &chunk);

    /** Returns the body of the whole chat completion. */
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

    QJsonObject
            commonFields; ///< id, model, created and the like, from the first chunk that has them
    QJsonObject usage;
    std::map<int, Choice> choices;
};

} // namespace lacewingmux
