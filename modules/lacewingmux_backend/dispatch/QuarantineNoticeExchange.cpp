#include "lacewingmux_backend/dispatch/QuarantineNoticeExchange.h"

#include "lacewingmux_backend/dispatch/ReplicaDispatcher.h"
#include "lacewingmux_backend/messages/BackendMessages.h"
#include "lacewingmux_peer/links/PeerHub.h"

namespace lacewingmux {

namespace {

PeerFrame makeNotice(const std::vector<CrashCoincidence> &coincidences)
{
    PeerFrame frame;
    frame.kind = FrameKind::QuarantineNotice;
    frame.payload = encodeQuarantineNotice(coincidences);
    return frame;
}

} // namespace

QuarantineNoticeExchange::QuarantineNoticeExchange(PeerHub &peerHub,
                                                   ReplicaDispatcher &callDispatcher)
    : hub(peerHub)
    , dispatcher(callDispatcher)
{
    this->hub.setHandler(
            FrameKind::QuarantineNotice,
            [this](const VmIncarnation &, const PeerFrame &frame) { this->receive(frame); });
    this->hub.addLinkHandler(
            [this](const VmIncarnation &peer, bool up) { this->linkChanged(peer, up); });
}

void QuarantineNoticeExchange::announce(const CrashCoincidence &coincidence)
{
    const PeerFrame frame = makeNotice({coincidence});
    for (const VmIncarnation &peer : this->connected)
        this->hub.send(peer, frame);
}

void QuarantineNoticeExchange::linkChanged(const VmIncarnation &peer, bool up)
{
    if (!up) {
        this->connected.erase(peer);
        return;
    }
    this->connected.insert(peer);
    const std::vector<CrashCoincidence> held = this->dispatcher.crashCoincidences();
    if (!held.empty())
        this->hub.send(peer, makeNotice(held));
}

void QuarantineNoticeExchange::receive(const PeerFrame &frame)
{
    const auto coincidences = decodeQuarantineNotice(frame.payload);
    if (!coincidences)
        return;
    for (const CrashCoincidence &coincidence : *coincidences)
        this->dispatcher.addRemoteCoincidence(coincidence);
}

} // namespace lacewingmux
