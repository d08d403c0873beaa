#include "lacewingmux_backend/orders/OrderLeaseExchange.h"

#include "lacewingmux_backend/orders/OrderLease.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/ZoneView.h"

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds requestInterval{1000};

} // namespace

OrderLeaseExchange::OrderLeaseExchange(PeerHub &peerHub, TimerService &timerService,
                                       OrderLease &orderLease)
    : hub(peerHub)
    , timers(timerService)
    , lease(orderLease)
{
    this->hub.setHandler(FrameKind::OrderLeaseRequest,
                         [this](const VmIncarnation &member, const PeerFrame &frame) {
                             this->sendReply(member, frame);
                         });
    this->hub.setHandler(FrameKind::OrderLeaseReply,
                         [this](const VmIncarnation &member, const PeerFrame &frame) {
                             this->receiveReply(member, frame);
                         });
    this->requestTimer = this->timers.every(requestInterval, [this] { this->sendRequests(); });
}

void OrderLeaseExchange::adoptView(const ZoneView &view)
{
    if (view.epoch() <= this->lease.fencingToken())
        return;
    this->lease.adoptView(view, this->timers.now());
    this->otherMembers.clear();
    for (const VmDescriptor &member : view.members()) {
        if (member.incarnation != this->hub.self())
            this->otherMembers.push_back(member.incarnation);
    }
    this->sendRequests();
}

void OrderLeaseExchange::sendRequests()
{
    this->pendingRequests.clear();
    for (const VmIncarnation &member : this->otherMembers) {
        PeerFrame frame;
        frame.kind = FrameKind::OrderLeaseRequest;
        frame.epoch = this->lease.fencingToken();
        frame.correlation = ++this->lastCorrelation;
        this->pendingRequests.emplace(frame.correlation,
                                      PendingRequest{member, this->timers.now()});
        this->hub.send(member, frame);
    }
}

void OrderLeaseExchange::sendReply(const VmIncarnation &member, const PeerFrame &request)
{
    PeerFrame reply;
    reply.kind = FrameKind::OrderLeaseReply;
    reply.epoch = this->lease.fencingToken();
    reply.correlation = request.correlation;
    this->hub.send(member, reply);
}

void OrderLeaseExchange::receiveReply(const VmIncarnation &member, const PeerFrame &reply)
{
    const auto found = this->pendingRequests.find(reply.correlation);
    if (found == this->pendingRequests.end() || found->second.member != member)
        return;
    this->lease.acknowledged(member, reply.epoch, found->second.sentAt);
    this->pendingRequests.erase(found);
}

} // namespace lacewingmux
