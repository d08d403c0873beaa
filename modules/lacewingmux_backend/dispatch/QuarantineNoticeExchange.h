#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"

#include <set>

namespace lacewingmux {

class PeerHub;
class ReplicaDispatcher;
struct CrashCoincidence;
struct PeerFrame;

/**
    Spreads what is known of requests that crash replicas over all VMs of the fleet. Each VM tells
    what it sees itself to all, and everything it holds to a VM whose link comes up, so nothing is
    lost with a broken link. Both parameters must outlive it; it sets the hub's handler for
    FrameKind::QuarantineNotice, so make it before the hub's first link.
*/
class QuarantineNoticeExchange
{
public:
    QuarantineNoticeExchange(PeerHub &peerHub, ReplicaDispatcher &callDispatcher);
    QuarantineNoticeExchange(const QuarantineNoticeExchange &) = delete;
    QuarantineNoticeExchange &operator=(const QuarantineNoticeExchange &) = delete;

    /** Tells all VMs; to be called from ReplicaDispatcherEnvironment::coincidenceSeen. */
    void announce(const CrashCoincidence &coincidence);

private:
    void linkChanged(const VmIncarnation &peer, bool up);
    void receive(const PeerFrame &frame);

    PeerHub &hub;
    ReplicaDispatcher &dispatcher;
    std::set<VmIncarnation> connected;
};

} // namespace lacewingmux
