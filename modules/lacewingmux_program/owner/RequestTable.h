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

/** What a request in progress waits for. It decides what a timeout may say. */
enum class RequestStage : std::uint8_t {
    Deciding, ///< a commit or a confirmation of the journal
    Queued,   ///< an earlier call of its program
    Running   ///< a call that has been or may be dispatched
};

/** One request in progress. */
struct PendingRequest
{
    OwnerRequest request;
    ResponseSink sink;
    std::optional<SlotIndex> slot; ///< of its aggregate; empty when it needs none
    RequestStage stage = RequestStage::Deciding;
    bool refused = false;     ///< whether its refusal waits for a confirmation; it must not run
    bool withdrawn = false;   ///< whether its key was withdrawn meanwhile
    bool headersSent = false; ///< whether the head of a streamed answer was sent
    TimerSubscription timeout;
};

/**
    The requests in progress at this owner, each with its sink. Every request leaves the table by
    exactly one of respond, end, fail or drop, so that no sink is called twice or kept for ever.
*/
class RequestTable
{
public:
    explicit RequestTable(TimerService &timerService);

    /** Called when a request's timeout is over; it must fail the request. */
    std::function<void(OwnerRequestHandle)> onTimeout;

    OwnerRequestHandle add(const OwnerRequest &request, ResponseSink sink);

    /** Returns the request, or null when it has been answered or its caller has gone. */
    [[nodiscard]] PendingRequest *find(OwnerRequestHandle handle);

    /** Sends a whole answer. */
    void respond(OwnerRequestHandle handle, int httpStatus, const std::vector<HttpHeader> &headers,
                 const QByteArray &body);

    /** Sends a part of a streamed answer, its head before the first part. */
    void stream(OwnerRequestHandle handle, const QByteArray &chunk);

    /** Ends a streamed answer. */
    void end(OwnerRequestHandle handle);

    void fail(OwnerRequestHandle handle, const LacewingmuxError &error);

    /** Forgets a request without an answer. */
    void drop(OwnerRequestHandle handle);

    /** Sets when the request times out, counted from now. */
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
