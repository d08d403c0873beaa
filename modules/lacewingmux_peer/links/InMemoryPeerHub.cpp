#include "lacewingmux_peer/links/InMemoryPeerHub.h"

#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"

namespace lacewingmux {

InMemoryPeerHub::InMemoryPeerHub(InMemoryPeerNetwork &ownNetwork, VmIncarnation ownIncarnation)
    : network(ownNetwork)
    , incarnation(std::move(ownIncarnation))
{ }

InMemoryPeerHub::~InMemoryPeerHub()
{
    this->network.remove(this);
}

const VmIncarnation &InMemoryPeerHub::self() const
{
    return this->incarnation;
}

void InMemoryPeerHub::setPeers(const std::vector<VmDescriptor> &peers)
{
    this->wanted.clear();
    for (const VmDescriptor &peer : peers) {
        if (peer.incarnation != this->incarnation)
            this->wanted.insert(peer.incarnation);
    }
    this->network.evaluateAll();
}

bool InMemoryPeerHub::send(const VmIncarnation &peer, const PeerFrame &frame)
{
    if (!this->isConnected(peer) || frame.payload.size() > defaultFrameLimitBytes)
        return false;
    this->network.sendFrame(this->incarnation, peer, frame);
    return true;
}

bool InMemoryPeerHub::isConnected(const VmIncarnation &peer) const
{
    return this->connected.count(peer) > 0;
}

void InMemoryPeerHub::setHandler(FrameKind kind, FrameHandler handler)
{
    this->dispatch.setHandler(kind, std::move(handler));
}

void InMemoryPeerHub::addLinkHandler(LinkHandler handler)
{
    this->dispatch.addLinkHandler(std::move(handler));
}

bool InMemoryPeerHub::wants(const VmIncarnation &peer) const
{
    return this->wanted.count(peer) > 0;
}

void InMemoryPeerHub::receive(const VmIncarnation &sender, const PeerFrame &frame)
{
    if (this->isConnected(sender))
        this->dispatch.frameReceived(sender, frame);
}

void InMemoryPeerHub::noticeLink(const VmIncarnation &peer, bool up)
{
    const bool changed = up ? this->connected.insert(peer).second : this->connected.erase(peer) > 0;
    if (changed)
        this->dispatch.linkChanged(peer, up);
}

} // namespace lacewingmux
