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
    Keeps an OrderLease's lease: asks the other members of the zone view, again and again, whether
    they still hold this VM's epoch for the latest, and answers them the same. Lives on the traffic
    thread; all parameters must outlive it. It sets the hub's handlers for its two kinds of frame.
*/
class OrderLeaseExchange
{
public:
    OrderLeaseExchange(PeerHub &peerHub, TimerService &timerService, OrderLease &orderLease);
    OrderLeaseExchange(const OrderLeaseExchange &) = delete;
    OrderLeaseExchange &operator=(const OrderLeaseExchange &) = delete;

    /** Adopts a zone view, also for the issuer; one that is not newer changes nothing. */
    void adoptView(const ZoneView &view);

private:
    struct Question
    {
        VmIncarnation member;
        TimerService::SteadyTime askedAt;
    };

    void ask();
    void answer(const VmIncarnation &member, const PeerFrame &request);
    void takeAnswer(const VmIncarnation &member, const PeerFrame &reply);

    PeerHub &hub;
    TimerService &timers;
    OrderLease &issuer;
    std::vector<VmIncarnation> others;
    std::uint64_t lastQuestion = 0;
    std::unordered_map<std::uint64_t, Question> questions; ///< of the last round
    TimerSubscription rounds;
};

} // namespace lacewingmux
