#include "lacewingmux_program/programs/EngineHistory.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux {

namespace {

QJsonObject parseObject(const PackedBytes &bytes)
{
    return QJsonDocument::fromJson(bytes.unpack()).object();
}

/** Returns the assistant message of a response, or its whole text if it is not a completion. */
QJsonObject answerMessage(const PackedBytes &body)
{
    const QJsonArray choices = parseObject(body).value(QLatin1String("choices")).toArray();
    const QJsonObject choice = choices.isEmpty() ? QJsonObject() : choices.at(0).toObject();
    const QJsonObject message = choice.value(QLatin1String("message")).toObject();
    if (!message.isEmpty())
        return message;
    return {{QStringLiteral("role"), QStringLiteral("assistant")},
            {QStringLiteral("content"), QString::fromUtf8(body.unpack())}};
}

} // namespace

const QByteArray &EngineHistory::messagesUpTo(const std::vector<RecordedCall> &calls,
                                              std::size_t count)
{
    if (count < this->callCount) {
        this->messages.clear();
        this->callCount = 0;
    }
    for (; this->callCount < count; ++this->callCount)
        this->append(calls[this->callCount]);
    return this->messages;
}

void EngineHistory::append(const RecordedCall &call)
{
    if (!call.extendsHistory())
        return;
    QJsonArray turn = parseObject(call.start.body).value(QLatin1String("messages")).toArray();
    turn.append(answerMessage(call.finish->body));
    const QByteArray text = QJsonDocument(turn).toJson(QJsonDocument::Compact);
    if (!this->messages.isEmpty())
        this->messages += ',';
    this->messages += text.sliced(1, text.size() - 2);
}

} // namespace lacewingmux
