#include "lacewingmux_backend/dispatch/DispatchResults.h"

#include "lacewingmux_backend/clients/BackendAnswer.h"
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
constexpr std::uint64_t tokensPerPriorityStep = 1024;

/** Returns the priority at the engine: programs that were served little go first, in steps of
    twice the tokens. */
int priorityFor(std::int64_t attainedTokens)
{
    const auto attained = static_cast<std::uint64_t>(std::max<std::int64_t>(0, attainedTokens));
    return -static_cast<int>(std::bit_width(attained / tokensPerPriorityStep));
}

} // namespace

DispatchResult completedResult(const BackendAnswer &answer)
{
    DispatchResult result;
    result.completed = true;
    result.executed = Executed::Yes;
    result.httpStatus = answer.httpStatus;
    result.headers = answer.headers;
    result.body = answer.body;
    result.inputTokens = answer.inputTokens;
    result.cachedTokens = answer.cachedTokens;
    result.outputTokens = answer.outputTokens;
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

DispatchResult lostResult(const BackendAnswer &answer, bool idempotent)
{
    ErrorKind kind = idempotent ? ErrorKind::BackendFailed : ErrorKind::ExecutionUnknown;
    if (answer.failure == BackendFailure::TimedOut)
        kind = ErrorKind::BackendTimeout;
    if (answer.failure == BackendFailure::NotSent)
        kind = ErrorKind::BackendUnavailable;
    return failedResult(kind, answer.executed, answer.message);
}

bool isTransientStatus(int httpStatus)
{
    return httpStatus == httpTooManyRequests || httpStatus == httpBadGateway
           || httpStatus == httpServiceUnavailable || httpStatus == httpGatewayTimeout;
}

BackendCall backendCallFor(const DispatchedCall &call, std::int64_t maxAnswerBytes)
{
    const DispatchRequest &request = call.request;
    BackendCall made;
    made.server = call.replica.url;
    made.method = request.method;
    made.path = request.path;
    made.headers = request.headers;
    made.body = request.body;
    made.requestId = request.requestId;
    made.program = request.program;
    made.priority = priorityFor(request.attainedTokens);
    made.stream = request.stream;
    made.idempotent = request.idempotent;
    made.maxOutputTokens = request.maxOutputTokens;
    made.maxAnswerBytes = maxAnswerBytes;
    made.timeout = request.runTimeout;
    return made;
}

} // namespace lacewingmux
