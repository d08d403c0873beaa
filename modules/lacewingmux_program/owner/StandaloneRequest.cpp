#include "lacewingmux_program/owner/StandaloneRequest.h"

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_program/claims/RequestClaim.h"
#include "lacewingmux_program/programs/EngineRequest.h"
#include "lacewingmux_program/requests/CallParser.h"

namespace lacewingmux {

namespace {

QByteArray engineBody(const CallCommand &command, bool stream)
{
    CallStarted start;
    start.number = 1;
    start.route = command.route;
    start.model = true;
    start.maxOutputTokens = command.maxOutputTokens;
    start.body = PackedBytes::pack(command.body);
    Agent agent;
    agent.calls.push_back({start, std::nullopt});
    return engineRequestBody(agent, start.number, stream);
}

} // namespace

CallCommand parseStandaloneRequest(const OwnerContext &context, const OwnerRequest &request)
{
    const auto &configuration = context.environment.configuration;
    if (!configuration)
        throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                               QStringLiteral("no configuration is known yet"));
    if (request.idempotencyKey.size() > maximumIdempotencyKeyLength)
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("the Idempotency-Key is longer than %1 characters")
                                       .arg(maximumIdempotencyKeyLength));
    const CallParser parser(*configuration);
    CallCommand command = request.operation == OwnerOperation::ChatCompletion
                                  ? parser.parseChatCompletion(request)
                                  : parser.parseServiceCall(request);
    if (!command.idempotent && request.idempotencyKey.isEmpty())
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("calls of the route \"%1\" need an Idempotency-Key")
                                       .arg(command.route));
    return command;
}

DispatchRequest standaloneDispatchRequest(const OwnerContext &context, const OwnerRequest &request,
                                          const CallCommand &command)
{
    const Allowance allowance = context.allowanceOf(request.team);
    const bool stream = command.model && request.stream && command.idempotent;
    DispatchRequest dispatch;
    dispatch.team = request.team;
    dispatch.teamWeight = allowance.weight;
    dispatch.keyId = request.keyId;
    dispatch.maxOutputTokens = command.maxOutputTokens;
    dispatch.route = command.route;
    dispatch.idempotent = command.idempotent;
    dispatch.contentDigest = command.digest;
    dispatch.method = command.method;
    dispatch.path = command.path;
    dispatch.headers = command.headers;
    dispatch.body = command.model ? engineBody(command, stream) : command.body;
    dispatch.stream = stream;
    dispatch.queueTimeout = allowance.queueTimeout;
    dispatch.runTimeout = allowance.callTimeout;
    return dispatch;
}

} // namespace lacewingmux
