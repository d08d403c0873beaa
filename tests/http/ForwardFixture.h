#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_http/forward/ForwardReceiver.h"
#include "lacewingmux_http/forward/OwnerForwarder.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <optional>

namespace lacewingmux::test {

/** What a caller saw of its answer. */
struct SeenAnswer
{
    int begins = 0;
    int ends = 0;
    std::vector<HttpHeader> headers;
    QByteArray body;
    std::optional<LacewingmuxError> error;

    [[nodiscard]] int outcomes() const
    {
        return this->ends + (this->error ? 1 : 0);
    }
};

/** Returns a sink that fills in what was seen; it must outlive the request. */
[[nodiscard]] ResponseSink sinkInto(SeenAnswer &seen);

/** One VM with a hub and a receiver in front of the given owner, and a forwarder of its own. */
struct ForwardingVm
{
    ForwardingVm(InMemoryPeerNetwork &network, TimerService &timers, const VmIncarnation &self,
                 OwnerService &owner);

    VmIncarnation incarnation;
    IgnoringMetricsRecorder metrics;
    SentRequests sent;
    std::unique_ptr<PeerHub> hub;
    ForwardReceiver receiver;
    OwnerForwarder forwarder;
};

/** Returns the incarnation of a VM in a zone. */
[[nodiscard]] VmIncarnation incarnationOf(const QString &vm, const QString &zone);

/** Returns views with the given VMs, each zone under the epoch. */
[[nodiscard]] std::shared_ptr<const FleetViews> viewsOf(const std::vector<VmIncarnation> &vms,
                                                        std::uint64_t epoch);

/** Returns a call of a program that is homed in zone "a". */
[[nodiscard]] OwnerRequest callOf(int program, std::uint32_t number, bool stream = false);

} // namespace lacewingmux::test
