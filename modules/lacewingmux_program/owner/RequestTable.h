#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

class TimerService;

/** What a request in progress waits for; determines the error that a timeout reports. */
enum class RequestStage : std::uint8_t {
    Deciding, ///< waits for a commit or a confirmation of the journal
    Queued,   ///< waits for an earlier call of its program
    Running   ///< waits for a call that was or may be dispatched
};

/** One request in progress. */
struct PendingRequest
{
    OwnerRequest request;
    ResponseSink sink;
    std::optional<SlotIndex> slot; ///< slot of its aggregate; empty if it has none
    RequestStage stage = RequestStage::Deciding;
    bool refused = false;     ///< whether its refusal awaits confirmation; it must not run
    bool withdrawn = false;   ///< whether the caller's key was withdrawn
    bool headersSent = false; ///< whether the headers of a streamed response were sent
    TimerSubscription timeout;
};

/**
    The requests in progress at this owner, each with its sink. Each request is removed by exactly
    one of respond, end, fail or drop, so that no sink is completed twice or kept forever.
*/
class RequestTable
{
public:
    explicit RequestTable(TimerService &timerService);

    /** Called when a request times out; it must end the request or set a new timeout. */
    std::function<void(OwnerRequestHandle)> onTimeout;

    OwnerRequestHandle add(const OwnerRequest &request, ResponseSink sink);

    /** Returns the request, or null if it was answered or its caller has disconnected. */
    [[nodiscard]] PendingRequest *find(OwnerRequestHandle handle);

    /** Sends a complete response. */
    void respond(OwnerRequestHandle handle, int httpStatus, const std::vector<HttpHeader> &headers,
                 const QByteArray &body);

    /** Sends a chunk of a streamed response; sends the headers before the first chunk. */
    void stream(OwnerRequestHandle handle, const QByteArray &chunk);

    /** Ends a streamed response. */
    void end(OwnerRequestHandle handle);

    void fail(OwnerRequestHandle handle, const LacewingmuxError &error);

    /** Removes a request without a response. */
    void drop(OwnerRequestHandle handle);

    /** Starts or restarts the timeout of the request. */
    void startTimeout(OwnerRequestHandle handle, std::chrono::milliseconds delay);

    /** Returns the requests that the predicate accepts. */
    [[nodiscard]] std::vector<OwnerRequestHandle>
    select(const std::function<bool(const PendingRequest &)> &predicate) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->requests.size();
    }

private:
    [[nodiscard]] std::optional<PendingRequest> take(OwnerRequestHandle handle);

    TimerService &timers;
    std::map<OwnerRequestHandle, PendingRequest> requests;
    OwnerRequestHandle nextHandle = 1;
};

} // namespace lacewingmux
