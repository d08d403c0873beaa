#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"

#include <set>

namespace lacewingmux {

class PeerHub;
class ReplicaDispatcher;
struct CrashCoincidence;
struct PeerFrame;

/**
    Shares the records of requests that crash replicas with all VMs of the fleet. Each VM sends its
    own observations to all other VMs, and all records that it holds to a VM whose link comes up, so
    no record is lost when a link breaks. Both parameters must outlive the exchange. It sets the
    hub's handler for FrameKind::QuarantineNotice and must be created before the hub's first link.
*/
class QuarantineNoticeExchange
{
public:
    QuarantineNoticeExchange(PeerHub &peerHub, ReplicaDispatcher &callDispatcher);
    QuarantineNoticeExchange(const QuarantineNoticeExchange &) = delete;
    QuarantineNoticeExchange &operator=(const QuarantineNoticeExchange &) = delete;

    /** Sends the coincidence to all connected VMs. Called from
        ReplicaDispatcherEnvironment::coincidenceRecorded. */
    void announce(const CrashCoincidence &coincidence);

private:
    void linkChanged(const VmIncarnation &peer, bool up);
    void receive(const PeerFrame &frame);

    PeerHub &hub;
    ReplicaDispatcher &dispatcher;
    std::set<VmIncarnation> connected;
};

} // namespace lacewingmux
