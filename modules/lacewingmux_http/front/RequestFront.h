#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_http/front/AnswerRelay.h"
#include "lacewingmux_http/front/FrontHooks.h"
#include "lacewingmux_program/requests/OwnerRequest.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <QString>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lacewingmux {

class AdmissionGate;
class CallerAnswer;
class Configuration;
class LacewingmuxError;
class MetricsRecorder;
class SentRequests;
struct AdmissionDecision;
struct CallerRequest;
struct FrontRequest;

/**
    The callers' interface: turns an HTTP request into an OwnerRequest and brings back its answer.

    For each request, in this order: the route must be known, the key valid and permitted, the
    team within its rate; then the owner is asked. The key is removed first and goes no further.
    Use handle() as the handler of a CallerServer. Single-threaded.
*/
class RequestFront
{
public:
    RequestFront(TimerService &timerService, MetricsRecorder &metricsRecorder,
                 AdmissionGate &admissionGate, OwnerService &ownerService,
                 SentRequests &sentRequests, FrontHooks frontHooks);
    ~RequestFront();
    RequestFront(const RequestFront &) = delete;
    RequestFront &operator=(const RequestFront &) = delete;

    /** Takes the configuration in force, for the requests that come after. */
    void adoptConfiguration(std::shared_ptr<const Configuration> newConfiguration);

    /** Takes one request of a caller and answers it, now or later. */
    void handle(CallerRequest request, const std::shared_ptr<CallerAnswer> &answer);

    /**
        Ends every open request and stream that came with the key. Its connections go on, since
        others may share them; each further request is checked anew.
    */
    void withdrawKey(const QString &keyId);

    /** Makes /readyz answer 503 from now on; what is open goes on. */
    void beginDrain() noexcept
    {
        this->draining = true;
    }

    /** Tells whether no request is open. */
    [[nodiscard]] bool isIdle() const noexcept
    {
        return this->openRequests.empty();
    }

private:
    using RequestNumber = std::uint64_t;

    /** A request that has passed its checks and is not answered yet. */
    struct OpenRequest
    {
        OpenRequest(OwnerRequest ownerRequest, AnswerRelay answerRelay)
            : request(std::move(ownerRequest))
            , relay(std::move(answerRelay))
        { }

        OwnerRequest request;
        AnswerRelay relay;
        std::optional<OwnerRequestHandle> handle; ///< once the owner has been asked
        TimerService::SteadyTime started;
    };

    [[nodiscard]] bool answerForMonitoring(const CallerRequest &request, CallerAnswer &answer);
    void process(CallerRequest request, const std::shared_ptr<CallerAnswer> &answer);
    void authenticate(FrontRequest &read, const QByteArray &presentedKey) const;
    [[nodiscard]] RequestNumber open(const FrontRequest &read,
                                     const std::shared_ptr<CallerAnswer> &answer);
    void admitted(RequestNumber number, const AdmissionDecision &decision);
    void askOwner(RequestNumber number);
    [[nodiscard]] ResponseSink sinkFor(RequestNumber number);
    void callerGone(RequestNumber number);
    void end(RequestNumber number);
    void fail(RequestNumber number, const LacewingmuxError &error);
    /** Fails a request by this front's own decision, and lets the owner know. */
    void refuse(RequestNumber number, const LacewingmuxError &error);
    void enforceTimeouts();
    void recordEnd(const OpenRequest &request);
    [[nodiscard]] OpenRequest *find(RequestNumber number);

    TimerService &timers;
    MetricsRecorder &metrics;
    AdmissionGate &admission;
    OwnerService &owner;
    SentRequests &sent;
    FrontHooks hooks;
    std::shared_ptr<const Configuration> configuration;
    std::unordered_map<RequestNumber, OpenRequest> openRequests;
    RequestNumber nextNumber = 1;
    bool draining = false;
    TimerSubscription sweep;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends late callbacks with this
};

} // namespace lacewingmux
