#include "lacewingmux_backend/clients/EngineMessages.h"

#include "lacewingmux_backend/clients/BackendAnswer.h"
#include "lacewingmux_backend/clients/BackendCall.h"

#include <QJsonDocument>

#include <algorithm>

namespace lacewingmux {

namespace {

void boundOutput(QJsonObject &json, std::int64_t bound)
{
    if (bound <= 0)
        return;
    // The newer name of the same field, where the caller used it.
    const QString newer = QStringLiteral("max_completion_tokens");
    const QString name = json.contains(newer) ? newer : QStringLiteral("max_tokens");
    const qint64 asked = json.value(name).toInteger(bound);
    json.insert(name, std::min<qint64>(asked, bound));
}

} // namespace

QByteArray engineBody(const BackendCall &call)
{
    const QJsonDocument document = QJsonDocument::fromJson(call.body);
    if (!document.isObject())
        return call.body;
    QJsonObject json = document.object();
    boundOutput(json, call.maxOutputTokens);
    json.insert(QStringLiteral("stream"), call.stream);
    if (call.stream)
        json.insert(QStringLiteral("stream_options"),
                    QJsonObject{{QStringLiteral("include_usage"), true}});
    else
        json.remove(QStringLiteral("stream_options"));
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

void readUsage(const QJsonObject &json, BackendAnswer &answer)
{
    const QJsonObject usage = json.value(QStringLiteral("usage")).toObject();
    if (usage.isEmpty())
        return;
    const QJsonObject details = usage.value(QStringLiteral("prompt_tokens_details")).toObject();
    answer.inputTokens = usage.value(QStringLiteral("prompt_tokens")).toInteger();
    answer.outputTokens = usage.value(QStringLiteral("completion_tokens")).toInteger();
    answer.cachedTokens = details.value(QStringLiteral("cached_tokens")).toInteger();
}

} // namespace lacewingmux
