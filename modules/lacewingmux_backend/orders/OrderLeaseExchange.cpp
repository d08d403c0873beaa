#include "lacewingmux_backend/orders/OrderLeaseExchange.h"

#include "lacewingmux_backend/orders/OrderLease.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/ZoneView.h"

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds roundInterval{1000};

} // namespace

OrderLeaseExchange::OrderLeaseExchange(PeerHub &peerHub, TimerService &timerService,
                                       OrderLease &orderLease)
    : hub(peerHub)
    , timers(timerService)
    , issuer(orderLease)
{
    this->hub.setHandler(FrameKind::OrderLeaseRequest,
                         [this](const VmIncarnation &member, const PeerFrame &frame) {
                             this->answer(member, frame);
                         });
    this->hub.setHandler(FrameKind::OrderLeaseReply,
                         [this](const VmIncarnation &member, const PeerFrame &frame) {
                             this->takeAnswer(member, frame);
                         });
    this->rounds = this->timers.every(roundInterval, [this] { this->ask(); });
}

void OrderLeaseExchange::adoptView(const ZoneView &view)
{
    if (view.epoch() <= this->issuer.fencing())
        return;
    this->issuer.adoptView(view, this->timers.now());
    this->others.clear();
    for (const VmDescriptor &member : view.members()) {
        if (member.incarnation != this->hub.self())
            this->others.push_back(member.incarnation);
    }
    this->ask();
}

void OrderLeaseExchange::ask()
{
    this->questions.clear();
    for (const VmIncarnation &member : this->others) {
        PeerFrame frame;
        frame.kind = FrameKind::OrderLeaseRequest;
        frame.epoch = this->issuer.fencing();
        frame.correlation = ++this->lastQuestion;
        this->questions.emplace(frame.correlation, Question{member, this->timers.now()});
        this->hub.send(member, frame);
    }
}

void OrderLeaseExchange::answer(const VmIncarnation &member, const PeerFrame &request)
{
    PeerFrame reply;
    reply.kind = FrameKind::OrderLeaseReply;
    reply.epoch = this->issuer.fencing();
    reply.correlation = request.correlation;
    this->hub.send(member, reply);
}

void OrderLeaseExchange::takeAnswer(const VmIncarnation &member, const PeerFrame &reply)
{
    const auto found = this->questions.find(reply.correlation);
    if (found == this->questions.end() || found->second.member != member)
        return;
    this->issuer.acknowledged(member, reply.epoch, found->second.askedAt);
    this->questions.erase(found);
}

} // namespace lacewingmux
