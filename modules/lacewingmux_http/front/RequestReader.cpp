#include "lacewingmux_http/front/RequestReader.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/ids/MintedId.h"
#include "lacewingmux_http/front/ForwardedHeaders.h"
#include "lacewingmux_http/server/CallerRequest.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QList>

#include <algorithm>
#include <chrono>
#include <limits>

namespace lacewingmux {

namespace {

constexpr qsizetype longestIdempotencyKey = 255;
constexpr std::chrono::milliseconds shortestTimeout{1};
constexpr std::chrono::milliseconds longestTimeout{600000};

LacewingmuxError malformed(const QString &message)
{
    return {ErrorKind::MalformedRequest, message};
}

LacewingmuxError unknownPath(const CallerRequest &request)
{
    return {ErrorKind::UnknownRoute,
            QStringLiteral("there is no %1 %2")
                    .arg(QString::fromLatin1(request.method), QString::fromUtf8(request.path))};
}

QJsonObject parseBody(const QByteArray &body)
{
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(body, &error);
    if (!document.isObject())
        throw malformed(QStringLiteral("the body is not a JSON object: ") + error.errorString());
    return document.object();
}

std::uint32_t parseCallNumber(const QByteArray &text)
{
    bool valid = false;
    const qulonglong number = text.toULongLong(&valid);
    if (!valid || number == 0 || number > std::numeric_limits<std::uint32_t>::max())
        throw malformed(QStringLiteral("a call's number is a whole number from 1"));
    return static_cast<std::uint32_t>(number);
}

QString parseProgramId(const QByteArray &text)
{
    const QString id = QString::fromUtf8(QByteArray::fromPercentEncoding(text));
    if (!MintedId::parse(id))
        throw LacewingmuxError(ErrorKind::UnknownProgram, QStringLiteral("this is no program id"));
    return id;
}

std::chrono::milliseconds parseTimeout(const CallerRequest &request)
{
    const QByteArray text = request.header("Lacewingmux-Timeout-Ms");
    if (text.isEmpty())
        return OwnerRequest().timeout;
    bool valid = false;
    const std::chrono::milliseconds timeout{text.toLongLong(&valid)};
    if (!valid || timeout < shortestTimeout || timeout > longestTimeout)
        throw malformed(QStringLiteral("Lacewingmux-Timeout-Ms is not between %1 and %2")
                                .arg(shortestTimeout.count())
                                .arg(longestTimeout.count()));
    return timeout;
}

QString parseIdempotencyKey(const CallerRequest &request)
{
    const QByteArray key = request.header("Idempotency-Key").trimmed();
    const bool printable = std::all_of(key.begin(), key.end(),
                                       [](char byte) { return byte >= ' ' && byte <= '~'; });
    if (key.size() > longestIdempotencyKey || !printable)
        throw malformed(QStringLiteral("Idempotency-Key is not %1 printable ASCII characters")
                                .arg(longestIdempotencyKey));
    return QString::fromLatin1(key);
}

bool acceptsEventStream(const CallerRequest &request)
{
    return request.header("Accept").toLower().contains("text/event-stream");
}

} // namespace

RequestReader::RequestReader(const Configuration &configurationInForce)
    : configuration(configurationInForce)
{ }

FrontRequest RequestReader::read(const CallerRequest &request) const
{
    const QByteArrayList segments = request.path.split('/');
    if (request.method.isEmpty() || segments.size() < 3 || segments[1] != "v1")
        throw unknownPath(request);
    if (segments[2] == "programs")
        return this->readProgramRequest(request, segments);
    if (segments[2] == "services" && segments.size() >= 4)
        return this->readService(request, segments);
    if (request.path == "/v1/chat/completions" && request.method == "POST")
        return this->readChatCompletion(request);
    throw unknownPath(request);
}

void RequestReader::checkPermission(const OwnerRequest &request, const QString &team) const
{
    const Route *route = this->configuration.route(request.route);
    if (request.route.isEmpty() || route == nullptr || route->open || route->teams.empty())
        return;
    if (std::find(route->teams.begin(), route->teams.end(), team) == route->teams.end())
        throw LacewingmuxError(
                ErrorKind::NotPermitted,
                QStringLiteral("the team may not use the route \"%1\"").arg(request.route));
}

FrontRequest RequestReader::readProgramRequest(const CallerRequest &request,
                                               const QByteArrayList &segments) const
{
    FrontRequest read;
    read.request.timeout = parseTimeout(request);
    read.request.body = request.body;
    const qsizetype count = segments.size();
    if (count == 3 && request.method == "POST") {
        read.request.operation = OwnerOperation::OpenProgram;
        const QJsonObject body = request.body.isEmpty() ? QJsonObject() : parseBody(request.body);
        const QString parent = body.value(QLatin1String("parent")).toString();
        if (!parent.isEmpty())
            read.request.programId = parseProgramId(parent.toUtf8());
        return read;
    }
    if (count < 4)
        throw unknownPath(request);
    read.request.programId = parseProgramId(segments[3]);
    if (count == 4 && request.method == "DELETE") {
        read.request.operation = OwnerOperation::EndProgram;
        read.charged = false;
        return read;
    }
    if (count == 5 && segments[4] == "history" && request.method == "GET") {
        read.request.operation = OwnerOperation::FetchHistory;
        return read;
    }
    if (count != 6 || segments[4] != "calls")
        throw unknownPath(request);
    read.request.callNumber = parseCallNumber(segments[5]);
    if (request.method == "GET") {
        read.request.operation = OwnerOperation::FetchCall;
        return read;
    }
    if (request.method != "POST")
        throw unknownPath(request);
    return this->readCall(request, std::move(read));
}

FrontRequest RequestReader::readCall(const CallerRequest &request, FrontRequest read) const
{
    const QJsonObject body = parseBody(request.body);
    read.request.operation = OwnerOperation::Call;
    read.request.route = body.value(QLatin1String("route")).toString();
    if (read.request.route.isEmpty())
        read.request.route = body.value(QLatin1String("model")).toString();
    if (this->configuration.route(read.request.route) == nullptr)
        throw LacewingmuxError(ErrorKind::UnknownRoute,
                               QStringLiteral("there is no route \"%1\"").arg(read.request.route));
    read.request.stream =
            body.value(QLatin1String("stream")).toBool() || acceptsEventStream(request);
    return read;
}

FrontRequest RequestReader::readChatCompletion(const CallerRequest &request) const
{
    const QByteArray program = request.header("Lacewingmux-Program").trimmed();
    FrontRequest read;
    read.request.timeout = parseTimeout(request);
    read.request.body = request.body;
    if (!program.isEmpty()) {
        const QByteArray number = request.header("Lacewingmux-Call").trimmed();
        if (number.isEmpty())
            throw malformed(QStringLiteral("Lacewingmux-Program needs Lacewingmux-Call, the number "
                                           "of the call, so that a retry can be told from a new "
                                           "call"));
        read.request.programId = parseProgramId(program);
        read.request.callNumber = parseCallNumber(number);
        return this->readCall(request, std::move(read));
    }
    read = this->readCall(request, std::move(read));
    read.request.operation = OwnerOperation::ChatCompletion;
    const Route &route = *this->configuration.route(read.request.route);
    if (route.kind != RouteKind::ModelEngine)
        throw LacewingmuxError(
                ErrorKind::UnknownRoute,
                QStringLiteral("the route \"%1\" is no model engine").arg(route.name));
    read.open = route.open;
    if (!route.idempotent) {
        read.request.idempotencyKey = parseIdempotencyKey(request);
        this->requireIdempotencyKey(read.request);
    }
    return read;
}

FrontRequest RequestReader::readService(const CallerRequest &request,
                                        const QByteArrayList &segments) const
{
    FrontRequest read;
    OwnerRequest &owner = read.request;
    owner.operation = OwnerOperation::ServiceCall;
    owner.route = QString::fromUtf8(QByteArray::fromPercentEncoding(segments[3]));
    const Route *route = this->configuration.route(owner.route);
    if (route == nullptr || route->kind != RouteKind::Service)
        throw LacewingmuxError(ErrorKind::UnknownRoute,
                               QStringLiteral("there is no service \"%1\"").arg(owner.route));
    read.open = route->open;
    owner.timeout = parseTimeout(request);
    owner.method = request.method;
    owner.path = '/' + segments.mid(4).join('/');
    if (!request.query.isEmpty())
        owner.path += '?' + request.query;
    owner.headers = forwardedHeaders(request.headers);
    owner.body = request.body;
    owner.stream = acceptsEventStream(request);
    if (!route->idempotent) {
        owner.idempotencyKey = parseIdempotencyKey(request);
        this->requireIdempotencyKey(owner);
    }
    return read;
}

void RequestReader::requireIdempotencyKey(const OwnerRequest &request) const
{
    if (request.idempotencyKey.isEmpty())
        throw malformed(QStringLiteral("calls of the route \"%1\" may run only once: send an "
                                       "Idempotency-Key, and the same one with every retry")
                                .arg(request.route));
}

} // namespace lacewingmux
