#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class OrderLease;
class PeerHub;
class ZoneView;
struct PeerFrame;

/**
    Renews an OrderLease: periodically asks the other members of the zone view for their latest
    epoch, and answers the same request from them. Runs on the traffic thread. All parameters must
    outlive the exchange. It sets the hub's handlers for OrderLeaseRequest and OrderLeaseReply
    frames.
*/
class OrderLeaseExchange
{
public:
    OrderLeaseExchange(PeerHub &peerHub, TimerService &timerService, OrderLease &orderLease);
    OrderLeaseExchange(const OrderLeaseExchange &) = delete;
    OrderLeaseExchange &operator=(const OrderLeaseExchange &) = delete;

    /** Adopts a zone view and passes it to the lease. A view that is not newer has no effect. */
    void adoptView(const ZoneView &view);

private:
    struct PendingRequest
    {
        VmIncarnation member;
        TimerService::SteadyTime sentAt;
    };

    void sendRequests();
    void sendReply(const VmIncarnation &member, const PeerFrame &request);
    void receiveReply(const VmIncarnation &member, const PeerFrame &reply);

    PeerHub &hub;
    TimerService &timers;
    OrderLease &lease;
    std::vector<VmIncarnation> otherMembers;
    std::uint64_t lastCorrelation = 0;
    /** The requests of the latest round, by correlation number. */
    std::unordered_map<std::uint64_t, PendingRequest> pendingRequests;
    TimerSubscription requestTimer;
};

} // namespace lacewingmux
