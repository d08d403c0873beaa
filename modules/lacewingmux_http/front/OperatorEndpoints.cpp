#include "lacewingmux_http/front/OperatorEndpoints.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerRequest.h"

#include <QCryptographicHash>
#include <QJsonDocument>

#include <optional>
#include <utility>

namespace lacewingmux {

namespace {

/** Returns what stands in the places of "*", or nothing when the path is another one. */
std::optional<std::vector<QString>> match(const QByteArrayList &pattern, const QByteArrayList &path)
{
    if (pattern.size() != path.size())
        return std::nullopt;
    std::vector<QString> arguments;
    for (qsizetype index = 0; index < pattern.size(); ++index) {
        if (pattern[index] == "*")
            arguments.push_back(QString::fromUtf8(QByteArray::fromPercentEncoding(path[index])));
        else if (pattern[index] != path[index])
            return std::nullopt;
    }
    return arguments;
}

QByteArray digest(const QByteArray &text)
{
    return QCryptographicHash::hash(text, QCryptographicHash::Sha256);
}

} // namespace

OperatorEndpoints::OperatorEndpoints(QByteArray operatorToken)
    : token(std::move(operatorToken))
{ }

void OperatorEndpoints::add(const QByteArray &method, const QByteArray &path, Handler handler)
{
    this->endpoints.push_back({method, path.split('/'), std::move(handler)});
}

void OperatorEndpoints::handle(const CallerRequest &request,
                               const std::shared_ptr<CallerAnswer> &answer) const
{
    const OperatorReply reply{[answer](const QJsonObject &json) {
                                  answer->send(200, {{"Content-Type", "application/json"}},
                                               QJsonDocument(json).toJson(QJsonDocument::Compact));
                              },
                              [answer](const LacewingmuxError &error) { answer->fail(error); }};
    try {
        this->checkToken(request);
        this->dispatch(request, reply);
    } catch (const LacewingmuxError &error) {
        reply.fail(error);
    }
}

void OperatorEndpoints::checkToken(const CallerRequest &request) const
{
    // Digests are compared so that the time taken tells nothing of the token.
    if (!this->token.isEmpty()
        && digest(request.header("Authorization")) != digest("Bearer " + this->token))
        throw LacewingmuxError(ErrorKind::Unauthenticated,
                               QStringLiteral("the operators' token is missing or wrong"));
}

void OperatorEndpoints::dispatch(const CallerRequest &request, const OperatorReply &reply) const
{
    const QByteArrayList path = request.path.split('/');
    for (const Endpoint &endpoint : this->endpoints) {
        const auto arguments = match(endpoint.segments, path);
        if (endpoint.method == request.method && arguments) {
            endpoint.handler({*arguments, request.body}, reply);
            return;
        }
    }
    throw LacewingmuxError(ErrorKind::UnknownRoute,
                           QStringLiteral("there is no such operator endpoint"));
}

} // namespace lacewingmux
