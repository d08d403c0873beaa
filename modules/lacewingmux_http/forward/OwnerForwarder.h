#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_http/forward/AnswerAssembly.h"
#include "lacewingmux_http/forward/ForwarderSettings.h"
#include "lacewingmux_http/forward/OwnerFinder.h"
#include "lacewingmux_peer/messages/FrameKind.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class FleetViews;
class MetricsRecorder;
class PeerHub;
class SentRequests;
struct PeerFrame;

/**
    The front's end of forwarding: finds the owner of each request through the views and asks it,
    on this VM directly, else over the traffic links.

    When the owner turns out to be another, or is lost before its answer was shown, the request is
    asked again under the newer view for a bounded time. That is safe: a call has its number and a
    non-idempotent request its key, under which the owner runs it at most once. A request that may
    have reached an owner is never answered "not run" by this VM. A home zone that can't be
    reached is answered at once. The hub must outlive this. Single-threaded.
*/
class OwnerForwarder final : public OwnerService
{
public:
    OwnerForwarder(TimerService &timerService, MetricsRecorder &metricsRecorder,
                   PeerHub &trafficHub, OwnerService &localOwner, const SentRequests &sentRequests,
                   ForwarderSettings forwarderSettings);
    ~OwnerForwarder() override;

    /** Takes newer views; requests that wait for an owner are asked again at once. */
    void adoptViews(std::shared_ptr<const FleetViews> newViews);

    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) override;
    void callerGone(OwnerRequestHandle request) override;

    /** Ends what the key has running at this VM's owner; the front ends its own requests. */
    void withdrawKey(const QString &keyId) override;

    /** Returns how many requests are in progress. */
    [[nodiscard]] std::size_t requestCount() const noexcept
    {
        return this->forwards.size();
    }

private:
    using Correlation = std::uint64_t;

    /** One request on its way. Each attempt has a correlation of its own; 0 while it waits. */
    struct Forward
    {
        Forward(const OwnerRequest &ownerRequest, ResponseSink responseSink);

        OwnerRequest request;
        std::shared_ptr<const ResponseSink> sink;
        AnswerAssembly assembly;
        std::optional<AggregateId> home;
        TimerService::SteadyTime deadline;
        TimerService::SteadyTime attemptStarted;
        std::optional<TimerService::SteadyTime> troubleSince;
        Correlation attempt = 0;
        std::optional<VmIncarnation> target; ///< of the attempt; nothing for this VM's owner
        std::optional<OwnerRequestHandle> localHandle;
        bool mayHaveRun = false;  ///< whether an attempt was lost that may have reached its owner
        std::size_t refusals = 0; ///< attempts that came to nothing
        std::chrono::milliseconds retryDelay{0};
        TimerSubscription retry;
    };

    void subscribe();
    void tryForward(OwnerRequestHandle handle);
    void askLocally(OwnerRequestHandle handle, Forward &forward);
    [[nodiscard]] bool askRemotely(OwnerRequestHandle handle, Forward &forward,
                                   const VmIncarnation &owner);
    [[nodiscard]] OwnerRequest remaining(const Forward &forward) const;
    [[nodiscard]] Correlation startAttempt(OwnerRequestHandle handle, Forward &forward);
    void closeAttempt(Forward &forward);
    void abandonAttempt(Forward &forward);

    void onFrame(const VmIncarnation &sender, const PeerFrame &frame);
    [[nodiscard]] bool takeFrame(Correlation attempt, const PeerFrame &frame);
    [[nodiscard]] bool takeChunk(Correlation attempt, std::uint32_t sequence,
                                 const QByteArray &bytes);
    void takeEnd(Correlation attempt, std::uint32_t chunkCount);
    void takeError(Correlation attempt, const LacewingmuxError &error);
    [[nodiscard]] ResponseSink localSink(Correlation attempt);

    void onLink(const VmIncarnation &peer, bool up);
    void noteTrouble(Forward &forward) const;
    void attemptLost(OwnerRequestHandle handle);
    void retryLater(OwnerRequestHandle handle, ErrorKind reason);
    void retryWaiting();
    void fail(OwnerRequestHandle handle, const LacewingmuxError &error);
    void giveUp(OwnerRequestHandle handle, ErrorKind reason, const QString &message);
    void enforceDeadlines();
    [[nodiscard]] std::vector<OwnerRequestHandle>
    select(const std::function<bool(const Forward &)> &predicate) const;
    [[nodiscard]] Forward *find(OwnerRequestHandle handle);
    [[nodiscard]] Forward *findAttempt(Correlation attempt);

    TimerService &timers;
    MetricsRecorder &metrics;
    PeerHub &hub;
    OwnerService &local;
    const SentRequests &sent;
    ForwarderSettings settings;
    OwnerFinder finder;
    std::unordered_map<OwnerRequestHandle, Forward> forwards;
    std::unordered_map<Correlation, OwnerRequestHandle> attempts;
    OwnerRequestHandle nextHandle = 1;
    Correlation nextCorrelation = 1;
    TimerSubscription sweep;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends late callbacks with this
};

} // namespace lacewingmux
