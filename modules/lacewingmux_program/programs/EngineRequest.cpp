#include "lacewingmux_program/programs/EngineRequest.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux {

namespace {

const QByteArray messagesField = QByteArrayLiteral(",\"messages\":[");

} // namespace

QByteArray engineRequestBody(const Agent &agent, std::uint32_t number, bool stream)
{
    const CallStarted &start = agent.call(number)->start;
    QJsonObject call = QJsonDocument::fromJson(start.body.unpack()).object();
    const QJsonArray added = call.take(QLatin1String("messages")).toArray();
    call.insert(QStringLiteral("model"), start.route);
    call.insert(QStringLiteral("max_tokens"), static_cast<qint64>(start.maxOutputTokens));
    if (stream)
        call.insert(QStringLiteral("stream"), true);
    const QByteArray fields = QJsonDocument(call).toJson(QJsonDocument::Compact);
    const QByteArray messages = QJsonDocument(added).toJson(QJsonDocument::Compact);
    const QByteArray &history = agent.engineHistory.messagesUpTo(agent.calls, number - 1);

    QByteArray body;
    body.reserve(fields.size() + messages.size() + history.size() + messagesField.size() + 2);
    body += fields.first(fields.size() - 1);
    body += messagesField;
    body += history;
    if (!history.isEmpty() && !added.isEmpty())
        body += ',';
    body += messages.sliced(1);
    body += '}';
    return body;
}

} // namespace lacewingmux
