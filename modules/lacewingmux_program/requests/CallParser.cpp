#include "lacewingmux_program/requests/CallParser.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

/** Upper bound of the tokens that an engine's chat template adds to each message. */
constexpr std::int64_t tokensPerMessage = 16;

[[noreturn]] void throwMalformed(const QString &text)
{
    throw LacewingmuxError(ErrorKind::MalformedRequest, text);
}

QJsonObject parseObject(const QByteArray &body)
{
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(body, &error);
    if (!document.isObject())
        throwMalformed(QStringLiteral("the body is not a JSON object: ") + error.errorString());
    return document.object();
}

const Route &permittedRoute(const Configuration &configuration, const QString &name,
                            const QString &team)
{
    const Route *route = configuration.route(name);
    if (route == nullptr)
        throw LacewingmuxError(ErrorKind::UnknownRoute,
                               QStringLiteral("there is no route \"%1\"").arg(name));
    if (route->open)
        return *route;
    const bool teamListed =
            route->teams.empty()
            || std::find(route->teams.begin(), route->teams.end(), team) != route->teams.end();
    if (team.isEmpty() || !teamListed)
        throw LacewingmuxError(
                ErrorKind::NotPermitted,
                QStringLiteral("the route \"%1\" is not open to the caller").arg(name));
    return *route;
}

void addToDigest(QCryptographicHash &hash, const QByteArray &field)
{
    hash.addData(QByteArray::number(field.size()));
    hash.addData(QByteArrayLiteral(":"));
    hash.addData(field);
}

QByteArray digestOf(const CallCommand &command)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    addToDigest(hash, command.route.toUtf8());
    addToDigest(hash, command.method);
    addToDigest(hash, command.path);
    addToDigest(hash, command.body);
    return hash.result();
}

/**
    Returns an upper bound of the call's input tokens: its size in bytes, as each token of a
    byte-level vocabulary covers at least one byte, plus the tokens of the chat template.
*/
std::int64_t inputBound(const QJsonObject &call)
{
    std::int64_t bound = 0;
    for (const auto &message : call.value(QLatin1String("messages")).toArray())
        bound += tokensPerMessage
                 + QJsonDocument(message.toObject()).toJson(QJsonDocument::Compact).size();
    const auto tools = call.value(QLatin1String("tools")).toArray();
    if (!tools.isEmpty())
        bound += QJsonDocument(tools).toJson(QJsonDocument::Compact).size();
    return bound;
}

std::int64_t outputBound(const QJsonObject &call, const Route &route)
{
    for (const char *name : {"maxTokens", "max_tokens"}) {
        const QJsonValue requested = call.value(QLatin1String(name));
        if (requested.isUndefined())
            continue;
        if (!requested.isDouble() || requested.toDouble() < 1)
            throwMalformed(QStringLiteral("maxTokens is not a number of at least 1"));
        return std::min<std::int64_t>(requested.toInteger(), route.maxOutputTokens);
    }
    return route.maxOutputTokens;
}

CallCommand modelCommand(QJsonObject call, const Route &route, const OwnerRequest &request)
{
    if (!call.value(QLatin1String("messages")).isArray())
        throwMalformed(QStringLiteral("messages is not a list"));
    CallCommand command;
    command.model = true;
    command.newInputTokens = inputBound(call);
    command.maxOutputTokens = outputBound(call, route);
    for (const char *name : {"route", "model", "maxTokens", "max_tokens", "stream"})
        call.remove(QLatin1String(name));
    command.number = request.callNumber;
    command.route = route.name;
    command.keyId = request.keyId;
    command.idempotent = route.idempotent;
    command.method = QByteArrayLiteral("POST");
    command.path = QByteArrayLiteral("/v1/chat/completions");
    command.body = QJsonDocument(call).toJson(QJsonDocument::Compact);
    command.digest = digestOf(command);
    return command;
}

QByteArray bytesOf(const QJsonValue &body)
{
    if (body.isString())
        return body.toString().toUtf8();
    if (body.isObject())
        return QJsonDocument(body.toObject()).toJson(QJsonDocument::Compact);
    if (body.isArray())
        return QJsonDocument(body.toArray()).toJson(QJsonDocument::Compact);
    if (body.isUndefined() || body.isNull())
        return {};
    throwMalformed(QStringLiteral("body is neither a string nor JSON"));
}

std::vector<HttpHeader> headersOf(const QJsonObject &call)
{
    std::vector<HttpHeader> headers;
    const QJsonObject fields = call.value(QLatin1String("headers")).toObject();
    for (auto field = fields.begin(); field != fields.end(); ++field)
        headers.push_back({field.key().toUtf8(), field.value().toString().toUtf8()});
    const auto isContentType = [](const HttpHeader &header) {
        return header.name.toLower() == QByteArrayLiteral("content-type");
    };
    const QJsonValue body = call.value(QLatin1String("body"));
    if ((body.isObject() || body.isArray())
        && std::none_of(headers.begin(), headers.end(), isContentType))
        headers.push_back(
                {QByteArrayLiteral("Content-Type"), QByteArrayLiteral("application/json")});
    return headers;
}

CallCommand serviceCommand(const QJsonObject &call, const Route &route, const OwnerRequest &request)
{
    CallCommand command;
    command.number = request.callNumber;
    command.route = route.name;
    command.keyId = request.keyId;
    command.idempotent = route.idempotent && call.value(QLatin1String("idempotent")).toBool(true);
    command.method = call.value(QLatin1String("method")).toString(QStringLiteral("POST")).toUtf8();
    command.path = call.value(QLatin1String("path")).toString(QStringLiteral("/")).toUtf8();
    command.headers = headersOf(call);
    command.body = bytesOf(call.value(QLatin1String("body")));
    command.digest = digestOf(command);
    return command;
}

} // namespace

CallParser::CallParser(const Configuration &activeConfiguration)
    : configuration(activeConfiguration)
{ }

CallCommand CallParser::parseProgramCall(const OwnerRequest &request) const
{
    const QJsonObject call = parseObject(request.body);
    QString name = call.value(QLatin1String("route")).toString();
    if (name.isEmpty())
        name = request.route;
    const Route &route = permittedRoute(this->configuration, name, request.team);
    return route.kind == RouteKind::ModelEngine ? modelCommand(call, route, request)
                                                : serviceCommand(call, route, request);
}

CallCommand CallParser::parseChatCompletion(const OwnerRequest &request) const
{
    const QJsonObject call = parseObject(request.body);
    const QString name =
            request.route.isEmpty() ? call.value(QLatin1String("model")).toString() : request.route;
    const Route &route = permittedRoute(this->configuration, name, request.team);
    if (route.kind != RouteKind::ModelEngine)
        throw LacewingmuxError(ErrorKind::UnknownRoute,
                               QStringLiteral("the route \"%1\" is no model engine").arg(name));
    return modelCommand(call, route, request);
}

CallCommand CallParser::parseServiceCall(const OwnerRequest &request) const
{
    const Route &route = permittedRoute(this->configuration, request.route, request.team);
    if (route.kind != RouteKind::Service)
        throw LacewingmuxError(ErrorKind::UnknownRoute,
                               QStringLiteral("the route \"%1\" is no service").arg(request.route));
    CallCommand command;
    command.route = route.name;
    command.keyId = request.keyId;
    command.idempotent = route.idempotent;
    command.method = request.method;
    command.path = request.path;
    command.headers = request.headers;
    command.body = request.body;
    command.digest = digestOf(command);
    return command;
}

} // namespace lacewingmux
