#include "lacewingmux_backend/clients/CompletionAssembler.h"

#include <QJsonDocument>

namespace lacewingmux {

void CompletionAssembler::add(const QJsonObject &chunk)
{
    for (const char *name : {"id", "model", "created", "system_fingerprint"}) {
        const QString field = QString::fromUtf8(name);
        if (chunk.contains(field) && !this->commonFields.contains(field))
            this->commonFields.insert(field, chunk.value(field));
    }
    const QJsonObject chunkUsage = chunk.value(QStringLiteral("usage")).toObject();
    if (!chunkUsage.isEmpty())
        this->usage = chunkUsage;
    const QJsonArray choiceArray = chunk.value(QStringLiteral("choices")).toArray();
    for (const auto &entry : choiceArray) {
        const QJsonObject json = entry.toObject();
        Choice &choice = this->choices[json.value(QStringLiteral("index")).toInt()];
        addDelta(choice, json.value(QStringLiteral("delta")).toObject());
        const QString finishReasonValue = json.value(QStringLiteral("finish_reason")).toString();
        if (!finishReasonValue.isEmpty())
            choice.finishReason = finishReasonValue;
    }
}

QByteArray CompletionAssembler::body() const
{
    QJsonArray choiceArray;
    for (const auto &[index, choice] : this->choices)
        choiceArray.append(choiceToJson(index, choice));
    QJsonObject json = this->commonFields;
    json.insert(QStringLiteral("object"), QStringLiteral("chat.completion"));
    json.insert(QStringLiteral("choices"), choiceArray);
    if (!this->usage.isEmpty())
        json.insert(QStringLiteral("usage"), this->usage);
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

void CompletionAssembler::addDelta(Choice &choice, const QJsonObject &delta)
{
    const QString role = delta.value(QStringLiteral("role")).toString();
    if (!role.isEmpty())
        choice.role = role;
    choice.content += delta.value(QStringLiteral("content")).toString();
    choice.refusal += delta.value(QStringLiteral("refusal")).toString();
    const QJsonArray toolCalls = delta.value(QStringLiteral("tool_calls")).toArray();
    for (const auto &toolCall : toolCalls)
        addToolCall(choice, toolCall.toObject());
}

void CompletionAssembler::addToolCall(Choice &choice, const QJsonObject &delta)
{
    const QString functionField = QStringLiteral("function");
    const QString argumentsField = QStringLiteral("arguments");
    QJsonObject &toolCall = choice.toolCalls[delta.value(QStringLiteral("index")).toInt()];
    QJsonObject function = toolCall.value(functionField).toObject();
    const QJsonObject functionDelta = delta.value(functionField).toObject();
    for (auto field = functionDelta.begin(); field != functionDelta.end(); ++field) {
        if (field.key() != argumentsField)
            function.insert(field.key(), field.value());
    }
    function.insert(argumentsField, function.value(argumentsField).toString()
                                            + functionDelta.value(argumentsField).toString());
    for (auto field = delta.begin(); field != delta.end(); ++field) {
        if (field.key() != functionField && field.key() != QStringLiteral("index"))
            toolCall.insert(field.key(), field.value());
    }
    toolCall.insert(functionField, function);
}

QJsonObject CompletionAssembler::choiceToJson(int index, const Choice &choice)
{
    QJsonObject message{{QStringLiteral("role"), choice.role},
                        {QStringLiteral("content"), choice.content}};
    if (!choice.refusal.isEmpty())
        message.insert(QStringLiteral("refusal"), choice.refusal);
    if (!choice.toolCalls.empty()) {
        QJsonArray toolCalls;
        for (const auto &entry : choice.toolCalls)
            toolCalls.append(entry.second);
        message.insert(QStringLiteral("tool_calls"), toolCalls);
    }
    const QJsonValue finishReasonValue = choice.finishReason.isEmpty()
                                                 ? QJsonValue(QStringLiteral("stop"))
                                                 : QJsonValue(choice.finishReason);
    return QJsonObject{{QStringLiteral("index"), index},
                       {QStringLiteral("message"), message},
                       {QStringLiteral("finish_reason"), finishReasonValue}};
}

} // namespace lacewingmux
