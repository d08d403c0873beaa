#include "lacewingmux_backend/dispatch/DispatchResults.h"

#include "lacewingmux_backend/clients/BackendResponse.h"
#include "lacewingmux_backend/dispatch/DispatchedCall.h"
#include "lacewingmux_core/errors/ErrorTable.h"

#include <algorithm>
#include <bit>

namespace lacewingmux {

namespace {

constexpr int httpTooManyRequests = 429;
constexpr int httpBadGateway = 502;
constexpr int httpServiceUnavailable = 503;
constexpr int httpGatewayTimeout = 504;
constexpr std::uint64_t firstPriorityStepTokens = 1024;

/** Returns the priority in the engine's queue: programs that have attained less service go first.
    The priority is lowered by one at firstPriorityStepTokens and at each doubling of it. */
int priorityFor(std::int64_t attainedTokens)
{
    const auto attained = static_cast<std::uint64_t>(std::max<std::int64_t>(0, attainedTokens));
    return -static_cast<int>(std::bit_width(attained / firstPriorityStepTokens));
}

} // namespace

DispatchResult completedResult(const BackendResponse &response)
{
    DispatchResult result;
    result.completed = true;
    result.executed = Executed::Yes;
    result.httpStatus = response.httpStatus;
    result.headers = response.headers;
    result.body = response.body;
    result.inputTokens = response.inputTokens;
    result.cachedTokens = response.cachedTokens;
    result.outputTokens = response.outputTokens;
    return result;
}

DispatchResult failedResult(ErrorKind kind, Executed executed, const QString &message,
                            std::chrono::milliseconds retryAfter)
{
    DispatchResult result;
    result.error = kind;
    result.errorMessage = message;
    result.executed = executed;
    result.retryAfter = retryAfter.count() > 0 ? retryAfter : answerFor(kind).defaultRetryAfter;
    return result;
}

DispatchResult backendFailureResult(const BackendResponse &response, bool idempotent)
{
    ErrorKind kind = idempotent ? ErrorKind::BackendFailed : ErrorKind::ExecutionUnknown;
    if (response.failure == BackendFailure::TimedOut)
        kind = ErrorKind::BackendTimeout;
    if (response.executed == Executed::No)
        kind = ErrorKind::BackendUnavailable;
    return failedResult(kind, response.executed, response.message);
}

bool isTransientStatus(int httpStatus)
{
    return httpStatus == httpTooManyRequests || httpStatus == httpBadGateway
           || httpStatus == httpServiceUnavailable || httpStatus == httpGatewayTimeout;
}

BackendCall backendCallFor(const DispatchedCall &call, std::int64_t maxResponseBytes)
{
    const DispatchRequest &request = call.request;
    BackendCall backendCall;
    backendCall.server = call.replica.url;
    backendCall.method = request.method;
    backendCall.path = request.path;
    backendCall.headers = request.headers;
    backendCall.body = request.body;
    backendCall.requestId = request.requestId;
    backendCall.program = request.program;
    backendCall.priority = priorityFor(request.attainedTokens);
    backendCall.stream = request.stream;
    backendCall.idempotent = request.idempotent;
    backendCall.maxOutputTokens = request.maxOutputTokens;
    backendCall.maxResponseBytes = maxResponseBytes;
    backendCall.timeout = request.runTimeout;
    return backendCall;
}

} // namespace lacewingmux
