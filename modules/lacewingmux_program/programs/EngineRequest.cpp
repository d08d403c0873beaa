#include "lacewingmux_program/programs/EngineRequest.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux {

namespace {

QJsonObject parseObject(const PackedBytes &bytes)
{
    return QJsonDocument::fromJson(bytes.unpack()).object();
}

void appendMessages(QJsonArray &messages, const QJsonObject &call)
{
    for (const auto &message : call.value(QLatin1String("messages")).toArray())
        messages.append(message);
}

/** Returns the assistant's message of an answer; the whole text where it is no completion. */
QJsonObject answerMessage(const PackedBytes &body)
{
    const QByteArray bytes = body.unpack();
    const QJsonObject answer = QJsonDocument::fromJson(bytes).object();
    const QJsonArray choices = answer.value(QLatin1String("choices")).toArray();
    const QJsonObject message =
            choices.isEmpty() ? QJsonObject()
                              : choices.at(0).toObject().value(QLatin1String("message")).toObject();
    if (!message.isEmpty())
        return message;
    return {{QStringLiteral("role"), QStringLiteral("assistant")},
            {QStringLiteral("content"), QString::fromUtf8(bytes)}};
}

} // namespace

QByteArray engineRequestBody(const Agent &agent, std::uint32_t number, bool stream)
{
    QJsonArray messages;
    for (const RecordedCall &earlier : agent.calls) {
        if (earlier.start.number >= number)
            break;
        if (!earlier.extendsHistory())
            continue;
        appendMessages(messages, parseObject(earlier.start.body));
        messages.append(answerMessage(earlier.finish->body));
    }
    const CallStarted &start = agent.call(number)->start;
    QJsonObject call = parseObject(start.body);
    appendMessages(messages, call);
    call.insert(QStringLiteral("model"), start.route);
    call.insert(QStringLiteral("messages"), messages);
    call.insert(QStringLiteral("max_tokens"), static_cast<qint64>(start.maxOutputTokens));
    if (stream)
        call.insert(QStringLiteral("stream"), true);
    return QJsonDocument(call).toJson(QJsonDocument::Compact);
}

} // namespace lacewingmux
