#include "lacewingmux_backend/clients/EngineMessages.h"

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendResponse.h"

#include <QJsonDocument>

#include <algorithm>

namespace lacewingmux {

namespace {

void limitOutputTokens(QJsonObject &json, std::int64_t limit)
{
    if (limit <= 0)
        return;
    // The newer name of the same field, used when the caller used it.
    const QString newerName = QStringLiteral("max_completion_tokens");
    const QString name = json.contains(newerName) ? newerName : QStringLiteral("max_tokens");
    const qint64 requested = json.value(name).toInteger(limit);
    json.insert(name, std::min<qint64>(requested, limit));
}

} // namespace

QByteArray engineBody(const BackendCall &call)
{
    const QJsonDocument document = QJsonDocument::fromJson(call.body);
    if (!document.isObject())
        return call.body;
    QJsonObject json = document.object();
    limitOutputTokens(json, call.maxOutputTokens);
    json.insert(QStringLiteral("stream"), call.stream);
    if (call.stream)
        json.insert(QStringLiteral("stream_options"),
                    QJsonObject{{QStringLiteral("include_usage"), true}});
    else
        json.remove(QStringLiteral("stream_options"));
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

void readUsage(const QJsonObject &json, BackendResponse &response)
{
    const QJsonObject usage = json.value(QStringLiteral("usage")).toObject();
    if (usage.isEmpty())
        return;
    const QJsonObject details = usage.value(QStringLiteral("prompt_tokens_details")).toObject();
    response.inputTokens = usage.value(QStringLiteral("prompt_tokens")).toInteger();
    response.outputTokens = usage.value(QStringLiteral("completion_tokens")).toInteger();
    response.cachedTokens = details.value(QStringLiteral("cached_tokens")).toInteger();
}

} // namespace lacewingmux
